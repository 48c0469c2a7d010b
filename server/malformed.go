package server

import (
	"log/slog"

	"pineport/dispatch"
)

// malformed is what came in that could not be used, since it was last logged: one line for all of it, as it may come at
// full speed.
type malformed struct {
	clients, answers int
	client, answer   error // the last
	next             dispatch.Micros
}

const tellMalformed = 10 * 1000 * 1000

func (m *malformed) tell(log *slog.Logger, now dispatch.Micros) {
	if now < m.next || m.clients+m.answers == 0 {
		return
	}
	if m.clients > 0 {
		log.Warn("clients turned away", "count", m.clients, "last", m.client)
	}
	if m.answers > 0 {
		log.Warn("answers spoilt", "count", m.answers, "last", m.answer)
	}
	*m = malformed{next: now + tellMalformed}
}
