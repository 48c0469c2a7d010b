package server

import (
	"log/slog"

	"pineport/dispatch"
)

// malformedInput is what could not be used of what came in, since it was last logged: one line for all of it, as it may come at full speed.
type malformedInput struct {
	clients, answers       int
	lastClient, lastAnswer error // the last
	nextLogAt              dispatch.Micros
}

const malformedInterval = 10 * 1000 * 1000

func (m *malformedInput) log(log *slog.Logger, now dispatch.Micros) {
	if now < m.nextLogAt || m.clients+m.answers == 0 {
		return
	}
	if m.clients > 0 {
		log.Warn("client input rejected", "count", m.clients, "last", m.lastClient)
	}
	if m.answers > 0 {
		log.Warn("malformed answers", "count", m.answers, "last", m.lastAnswer)
	}
	*m = malformedInput{nextLogAt: now + malformedInterval}
}
