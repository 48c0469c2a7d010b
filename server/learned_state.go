package server

import (
	"time"

	"pineport/dispatch"
)

// keeper stores snapshots of the learned state, without waiting for a disk.
type keeper interface {
	Offer(dispatch.Snapshot)
	Close(within time.Duration)
}

// learnedState says when a snapshot of what the decisions have learned is due: soon after any outcome but a delivery, else now and then.
type learnedState struct {
	keeper   keeper
	every    dispatch.Micros
	last     dispatch.Micros // when the last snapshot was taken
	served   bool            // something was, since then
	troubled bool            // something went wrong since then
}

// calmFactor: where every call is delivered, little is learned, and the next snapshot may wait so many times as long.
const calmFactor = 5

// KeepLearned has snapshots of the learned state stored from now on, one in every so long at most.
func (r *Router) KeepLearned(k keeper, every time.Duration) {
	r.learned = learnedState{keeper: k, every: dispatch.Micros(every.Microseconds())}
}

// RestoreLearned hands the learned state of an earlier run to the decisions, beside the list that it is about; nil where there is none
// that can be used.
func (r *Router) RestoreLearned(before *dispatch.Snapshot) {
	if before == nil || len(r.events) == 0 {
		return
	}
	// After the list, which is the first event, and before the messages that were held.
	r.events = append(r.events[:1:1], append([]dispatch.Event{dispatch.SnapshotRestored{Snapshot: *before}}, r.events[1:]...)...)
}

// observe takes down that an attempt had an outcome.
func (l *learnedState) observe(o dispatch.Outcome) {
	switch o {
	case dispatch.Delivered:
		l.served = true
	case dispatch.Unprocessed, dispatch.Canceled:
	default:
		l.troubled = true
	}
}

func (l *learnedState) due() dispatch.Micros {
	switch {
	case l.keeper == nil:
	case l.troubled:
		return l.last + l.every
	case l.served:
		return l.last + calmFactor*l.every
	}
	return never
}

// saveLearned hands a snapshot to the keeper, if it is time or is to be done at once.
func (r *Router) saveLearned(atOnce bool) {
	if r.learned.keeper == nil || !atOnce && r.learned.due() > r.now {
		return
	}
	r.learned.last, r.learned.served, r.learned.troubled = r.now, false, false
	r.learned.keeper.Offer(r.snapshotLearned())
}

// snapshotLearned is what the decisions have learned by now.
func (r *Router) snapshotLearned() (l dispatch.Snapshot) {
	if d, ok := r.courier.(dispatch.Snapshotter); ok {
		l = d.Snapshot()
	}
	return l
}

// lastWrite is how long the end of the process waits for the last snapshot to be written.
const lastWrite = 200 * time.Millisecond

// saveLearnedAtEnd stores the last snapshot of this process.
func (r *Router) saveLearnedAtEnd() {
	if r.learned.keeper != nil {
		r.saveLearned(true)
		r.learned.keeper.Close(lastWrite)
	}
}
