package server

import (
	"log/slog"

	"pineport/dispatch"
)

// malformedInput counts unusable input since it was last logged. It is logged as one line per interval,
// because such input may arrive at a high rate.
type malformedInput struct {
	clients, answers                 int
	lastClientError, lastAnswerError error
	nextLogAt                        dispatch.Micros
}

const malformedInterval = 10 * 1000 * 1000

func (m *malformedInput) log(log *slog.Logger, now dispatch.Micros) {
	if now < m.nextLogAt || m.clients+m.answers == 0 {
		return
	}
	if m.clients > 0 {
		log.Warn("client input rejected", "count", m.clients, "last", m.lastClientError)
	}
	if m.answers > 0 {
		log.Warn("malformed answers", "count", m.answers, "last", m.lastAnswerError)
	}
	*m = malformedInput{nextLogAt: now + malformedInterval}
}
