package server

import (
	"time"

	"pineport/dispatch"
)

// snapshotWriter stores snapshots of the learned state without blocking on the disk.
type snapshotWriter interface {
	Offer(dispatch.Snapshot)
	Close(within time.Duration)
}

// snapshotSchedule determines when a snapshot is due: one interval after the last if any outcome shows a
// problem, otherwise after several intervals.
type snapshotSchedule struct {
	writer    snapshotWriter
	interval  dispatch.Micros
	takenAt   dispatch.Micros
	delivered bool // an attempt was delivered since takenAt
	failed    bool // an attempt failed since takenAt
}

// deliveredOnlyFactor multiplies the interval if all attempts were delivered, because little is learned
// from those.
const deliveredOnlyFactor = 5

// StoreSnapshots enables snapshots of the learned state, at most one per interval.
func (s *Server) StoreSnapshots(writer snapshotWriter, interval time.Duration) {
	s.snapshots = snapshotSchedule{writer: writer, interval: dispatch.Micros(interval.Microseconds())}
}

// RestoreSnapshot passes the snapshot of an earlier run to the dispatcher, after the endpoint list that it
// refers to. A nil snapshot is ignored.
func (s *Server) RestoreSnapshot(previous *dispatch.Snapshot) {
	if previous == nil || len(s.events) == 0 {
		return
	}
	// Insert the snapshot after the endpoint list, which is the first event, and before the recovered
	// messages.
	s.events = append(s.events[:1:1], append([]dispatch.Event{dispatch.SnapshotRestored{Snapshot: *previous}}, s.events[1:]...)...)
}

// observe records the outcome of an attempt.
func (s *snapshotSchedule) observe(outcome dispatch.Outcome) {
	switch outcome {
	case dispatch.Delivered:
		s.delivered = true
	case dispatch.Unprocessed, dispatch.Canceled:
	default:
		s.failed = true
	}
}

func (s *snapshotSchedule) due() dispatch.Micros {
	switch {
	case s.writer == nil:
	case s.failed:
		return s.takenAt + s.interval
	case s.delivered:
		return s.takenAt + deliveredOnlyFactor*s.interval
	}
	return never
}

// saveSnapshot passes a snapshot to the writer if one is due or force is set.
func (s *Server) saveSnapshot(force bool) {
	if s.snapshots.writer == nil || !force && s.snapshots.due() > s.now {
		return
	}
	s.snapshots.takenAt, s.snapshots.delivered, s.snapshots.failed = s.now, false, false
	s.snapshots.writer.Offer(s.takeSnapshot())
}

// takeSnapshot returns the learned state of the dispatcher.
func (s *Server) takeSnapshot() (snapshot dispatch.Snapshot) {
	if snapshotter, ok := s.dispatcher.(dispatch.Snapshotter); ok {
		snapshot = snapshotter.Snapshot()
	}
	return snapshot
}

// lastSnapshotTimeout bounds the wait for the last snapshot during exit.
const lastSnapshotTimeout = 200 * time.Millisecond

// saveLastSnapshot stores the final snapshot of this process.
func (s *Server) saveLastSnapshot() {
	if s.snapshots.writer != nil {
		s.saveSnapshot(true)
		s.snapshots.writer.Close(lastSnapshotTimeout)
	}
}
