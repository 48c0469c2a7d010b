package server

import (
	"pineport/dispatch"
	"pineport/spool"
)

const (
	// resubmitWindow is how long after its deadline the id of a message is recognized. Clients use new ids for later submissions; an id
	// that comes again is the same message, whose request or reply was lost on the way.
	resubmitWindow = 30 * 1000 * 1000
	// maxFinished bounds the number of remembered ids.
	maxFinished = 8192
)

// finishedMessages remembers the ids of accepted messages that have ended, as long as clients may submit
// them again. The spool keeps them over restarts and upgrades. Failures: a connection reset discarded a reply in the socket
// buffer, the client sent the same request again, and the message was accepted a second time. At-most-once messages ran twice when
// their ids came again some seconds later, or at the other process of an upgrade.
type finishedMessages struct {
	until map[dispatch.MessageID]dispatch.Micros
	order []dispatch.MessageID // oldest first
	// onForgotten is called with each id that is remembered no longer. It may be nil.
	onForgotten func(dispatch.MessageID)
}

func (f *finishedMessages) add(message *message, now dispatch.Micros) {
	id, until := dispatch.MessageID(message.stored.ID), max(message.acceptedAt, dispatch.Micros(message.stored.Deadline))+resubmitWindow
	f.remember(id, until, now)
}

// remember remembers an id until an instant.
func (f *finishedMessages) remember(id dispatch.MessageID, until, now dispatch.Micros) {
	f.forgetExpired(now)
	if until <= now || f.until[id] != 0 {
		return
	}
	if f.until == nil {
		f.until = map[dispatch.MessageID]dispatch.Micros{}
	}
	f.until[id] = until
	f.order = append(f.order, id)
}

// forgetExpired makes room for another id.
func (f *finishedMessages) forgetExpired(now dispatch.Micros) {
	for len(f.order) > 0 && (f.until[f.order[0]] <= now || len(f.order) >= maxFinished) {
		id := f.order[0]
		delete(f.until, id)
		f.order = f.order[1:]
		if f.onForgotten != nil {
			f.onForgotten(id)
		}
	}
}

// contains reports whether a message was accepted and has ended within the resubmit window.
func (f *finishedMessages) contains(id dispatch.MessageID, now dispatch.Micros) bool {
	return f.until[id] > now
}

// restore takes over the ids that the spool remembers, those that are forgotten first in front.
func (f *finishedMessages) restore(stored []spool.Remembered, now dispatch.Micros) {
	for _, remembered := range stored {
		if until := dispatch.Micros(remembered.Until); until <= now {
			f.onForgotten(dispatch.MessageID(remembered.ID))
		} else {
			f.remember(dispatch.MessageID(remembered.ID), until, now)
		}
	}
}

// removeFromSpool removes a message that has ended, and remembers its id there as long as here.
func (s *Server) removeFromSpool(id string) {
	if until := s.finished.until[dispatch.MessageID(id)]; until > s.now {
		s.logSpoolError(s.spool.RemoveAndRemember(id, int64(until)))
	} else {
		s.logSpoolError(s.spool.Remove(id))
	}
}
