package scripted

import (
	"slices"
	"time"
)

// EventKind is what happened to a message at a stand-in.
type EventKind int

// The kinds of events.
const (
	CallReceived   EventKind = iota // an endpoint has read a call
	Delivered                       // an endpoint is about to answer a call with 200
	NoticeReceived                  // the notice service has read a notice
)

// Event is one event of a message.
type Event struct {
	Kind EventKind
	At   time.Time
}

// record adds an event of a message. The caller holds the lock.
func (w *World) record(id string, kind EventKind) {
	w.events[id] = append(w.events[id], Event{Kind: kind, At: time.Now()})
}

// Events returns the events of a message, the earliest first.
func (w *World) Events(id string) []Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.events[id])
}
