package server

import "pineport/dispatch"

const (
	// resendWindow is how long a client may send a message once more: it waits 400 ms for its reply, and whatever it submits later
	// has a new id (PROTOCOL). The longest way there is a fifth of a second.
	resendWindow = 1000 * 1000
	// maxFinished is a hundred times what ends in that time at a busy courier.
	maxFinished = 4096
)

// finishedMessages remembers messages that were accepted and have ended, for as long as their clients may send them once more. Failure: a
// reset took away a reply that the socket had; the client sent the same request again, and its message was accepted a second time.
type finishedMessages struct {
	until map[dispatch.MessageID]dispatch.Micros
	order []dispatch.MessageID // oldest first
}

func (f *finishedMessages) add(message *message, now dispatch.Micros) {
	for len(f.order) > 0 && (f.until[f.order[0]] <= now || len(f.order) >= maxFinished) {
		delete(f.until, f.order[0])
		f.order = f.order[1:]
	}
	id, until := dispatch.MessageID(message.stored.ID), message.acceptedAt+resendWindow
	if until <= now || f.until[id] != 0 {
		return
	}
	if f.until == nil {
		f.until = map[dispatch.MessageID]dispatch.Micros{}
	}
	f.until[id] = until
	f.order = append(f.order, id)
}

// contains reports whether a message was accepted and has ended.
func (f *finishedMessages) contains(id dispatch.MessageID, now dispatch.Micros) bool {
	return f.until[id] > now
}
