package server

import "pineport/dispatch"

const (
	// resubmitWindow is how long a client may submit the same message again. According to the protocol, a
	// client waits 400 ms for its reply and uses new ids for later submissions. The longest latency is 200
	// ms.
	resubmitWindow = 1000 * 1000
	// maxFinished bounds the number of remembered ids. It is 100 times the number of messages that end
	// within resubmitWindow at a busy courier.
	maxFinished = 4096
)

// finishedMessages remembers the ids of accepted messages that have ended, as long as clients may submit
// them again. Failure: a connection reset discarded a reply in the socket buffer, the client sent the same
// request again, and the message was accepted a second time.
type finishedMessages struct {
	until map[dispatch.MessageID]dispatch.Micros
	order []dispatch.MessageID // oldest first
}

func (f *finishedMessages) add(message *message, now dispatch.Micros) {
	for len(f.order) > 0 && (f.until[f.order[0]] <= now || len(f.order) >= maxFinished) {
		delete(f.until, f.order[0])
		f.order = f.order[1:]
	}
	id, until := dispatch.MessageID(message.stored.ID), message.acceptedAt+resubmitWindow
	if until <= now || f.until[id] != 0 {
		return
	}
	if f.until == nil {
		f.until = map[dispatch.MessageID]dispatch.Micros{}
	}
	f.until[id] = until
	f.order = append(f.order, id)
}

// contains reports whether a message was accepted and has ended within the resubmit window.
func (f *finishedMessages) contains(id dispatch.MessageID, now dispatch.Micros) bool {
	return f.until[id] > now
}
