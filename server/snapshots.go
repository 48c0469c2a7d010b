package server

import (
	"time"

	"pineport/dispatch"
)

// snapshotWriter stores snapshots of the learned state, without waiting for a disk.
type snapshotWriter interface {
	Offer(dispatch.Snapshot)
	Close(within time.Duration)
}

// snapshotSchedule says when a snapshot is due: soon after any outcome but a delivery, else now and then.
type snapshotSchedule struct {
	writer    snapshotWriter
	every     dispatch.Micros
	last      dispatch.Micros // when the last snapshot was taken
	delivered bool            // something was, since then
	failed    bool            // something went wrong since then
}

// quietFactor: where every call is delivered little is learned, and the next snapshot may wait so many times as long.
const quietFactor = 5

// StoreSnapshots has snapshots of the learned state stored from now on, at most one in every interval.
func (s *Server) StoreSnapshots(k snapshotWriter, every time.Duration) {
	s.snapshots = snapshotSchedule{writer: k, every: dispatch.Micros(every.Microseconds())}
}

// RestoreSnapshot hands the snapshot of an earlier run to the dispatcher, after the list that it is about; nil for none.
func (s *Server) RestoreSnapshot(before *dispatch.Snapshot) {
	if before == nil || len(s.events) == 0 {
		return
	}
	// CopyCounters the list, which is the first event, and before the messages that were held.
	s.events = append(s.events[:1:1], append([]dispatch.Event{dispatch.SnapshotRestored{Snapshot: *before}}, s.events[1:]...)...)
}

// observe notes an outcome.
func (l *snapshotSchedule) observe(outcome dispatch.Outcome) {
	switch outcome {
	case dispatch.Delivered:
		l.delivered = true
	case dispatch.Unprocessed, dispatch.Canceled:
	default:
		l.failed = true
	}
}

func (l *snapshotSchedule) due() dispatch.Micros {
	switch {
	case l.writer == nil:
	case l.failed:
		return l.last + l.every
	case l.delivered:
		return l.last + quietFactor*l.every
	}
	return never
}

// saveSnapshot hands a snapshot to the writer, if it is due or is to be stored at once.
func (s *Server) saveSnapshot(atOnce bool) {
	if s.snapshots.writer == nil || !atOnce && s.snapshots.due() > s.now {
		return
	}
	s.snapshots.last, s.snapshots.delivered, s.snapshots.failed = s.now, false, false
	s.snapshots.writer.Offer(s.takeSnapshot())
}

// takeSnapshot returns what the dispatcher has learned by now.
func (s *Server) takeSnapshot() (snapshot dispatch.Snapshot) {
	if d, ok := s.dispatcher.(dispatch.Snapshotter); ok {
		snapshot = d.Snapshot()
	}
	return snapshot
}

// lastSnapshotTimeout is how long the exit of the process waits for the last snapshot.
const lastSnapshotTimeout = 200 * time.Millisecond

// saveLastSnapshot stores the last snapshot of this process.
func (s *Server) saveLastSnapshot() {
	if s.snapshots.writer != nil {
		s.saveSnapshot(true)
		s.snapshots.writer.Close(lastSnapshotTimeout)
	}
}
