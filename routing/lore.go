package routing

import (
	"time"

	"pineport/logic"
)

// keeper takes what the decisions have learned, without waiting for a disk.
type keeper interface {
	Offer(logic.Lore)
	Close(within time.Duration)
}

// lore sees to it that what is learned is kept: soon after anything but a served call, else now and then.
type lore struct {
	keeper   keeper
	every    logic.Micros
	last     logic.Micros // when it was last kept
	served   bool         // since then
	troubled bool
}

// calmly: where calls are only served, little is learned, and it may wait so many times as long.
const calmly = 5

// Learn has what the decisions learn kept from now on, every so often at most.
func (r *Router) Learn(k keeper, every time.Duration) {
	r.lore = lore{keeper: k, every: logic.Micros(every.Microseconds())}
}

// Believe hands what was learned before to the decisions, beside the list that it is about; nil where there is nothing that
// can be used.
func (r *Router) Believe(before *logic.Lore) {
	if before == nil || len(r.events) == 0 {
		return
	}
	// After the list, which is the first event, and before the messages that were held.
	r.events = append(r.events[:1:1], append([]logic.Event{logic.Learned{Lore: *before}}, r.events[1:]...)...)
}

// note takes down that an attempt had an outcome.
func (l *lore) note(o logic.Outcome) {
	switch o {
	case logic.Done:
		l.served = true
	case logic.Void, logic.Withdrawn:
	default:
		l.troubled = true
	}
}

func (l *lore) due() logic.Micros {
	switch {
	case l.keeper == nil:
	case l.troubled:
		return l.last + l.every
	case l.served:
		return l.last + calmly*l.every
	}
	return never
}

// learnt hands what was learned to its keeper, if it is time.
func (r *Router) learnt(atOnce bool) {
	if r.lore.keeper == nil || !atOnce && r.lore.due() > r.now {
		return
	}
	r.lore.last, r.lore.served, r.lore.troubled = r.now, false, false
	r.lore.keeper.Offer(r.fresh())
}

// fresh is what the decisions know now.
func (r *Router) fresh() (l logic.Lore) {
	if d, ok := r.courier.(interface{ Lore() logic.Lore }); ok {
		l = d.Lore()
	}
	return l
}

// lastWrite is how long the end of the process waits for the last of what was learned.
const lastWrite = 200 * time.Millisecond

// partLore keeps what was learned a last time.
func (r *Router) partLore() {
	if r.lore.keeper != nil {
		r.learnt(true)
		r.lore.keeper.Close(lastWrite)
	}
}
