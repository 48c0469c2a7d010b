package endpointmodel

import (
	"math/rand/v2"

	"pineport/dispatch"
)

// meter counts calls against a limit.
type limiter struct {
	limit        Limit
	rng          *rand.Rand
	remaining    float64 // share of the limit that faults leave
	tokens       float64
	filledAt     dispatch.Micros
	windowNumber int64 // number of the current window since time 0
	usedInWindow int

	reportEvery                dispatch.Micros // interval at which the load report is updated
	reportNoise                float64
	nextReportAt               dispatch.Micros
	reportedLeft, reportedRate float64
}

func (m *limiter) rate() float64 { return m.limit.PerSec * m.remaining }

// burst returns the maximum number of tokens: the calls of half a second, at least 1.
func (m *limiter) burst() float64 { return max(1, m.rate()/2) }

func (m *limiter) refill(now dispatch.Micros) {
	switch m.limit.Kind {
	case Rate:
		m.tokens = min(m.burst(), m.tokens+m.rate()*float64(now-m.filledAt)/1e6)
		m.filledAt = now
	case Window:
		if number := int64(now / m.limit.Span); number != m.windowNumber {
			m.windowNumber, m.usedInWindow = number, 0
		}
	}
}

func (m *limiter) windowLimit() int { return max(1, int(m.rate()*float64(m.limit.Span)/1e6)) }

// allow counts a call and reports whether it is within the limit. If it is not, allow also returns the
// Retry-After time, or 0 if the destination sends none.
func (m *limiter) allow(now dispatch.Micros) (ok bool, retryAfter dispatch.Micros) {
	m.refill(now)
	switch m.limit.Kind {
	case NoLimit:
		return true, 0
	case Window:
		if m.usedInWindow < m.windowLimit() {
			m.usedInWindow++
			return true, 0
		}
		retryAfter = dispatch.Micros(m.windowNumber+1)*m.limit.Span - now
	default:
		if m.tokens >= 1 {
			m.tokens--
			return true, 0
		}
		if m.limit.CountRefused {
			m.tokens = max(-m.burst(), m.tokens-1)
		}
		retryAfter = dispatch.Micros((1 - m.tokens) / max(m.rate(), 1e-3) * 1e6)
	}
	if m.rng.Float64() >= m.limit.RetryAfterShare {
		return false, 0
	}
	return false, max(retryAfter, m.limit.MinRetryAfter)
}

// report returns a load report: the share of the limit that is left, and the limit in calls per second. Both
// values are noisy and up to reportEvery old.
func (m *limiter) report(now dispatch.Micros) []float64 {
	if m.limit.Kind == NoLimit {
		return []float64{0, 0}
	}
	if now >= m.nextReportAt {
		m.refill(now)
		left := max(0, m.tokens) / m.burst()
		if m.limit.Kind == Window {
			left = 1 - float64(m.usedInWindow)/float64(m.windowLimit())
		}
		noise := func() float64 { return 1 + m.reportNoise*m.rng.NormFloat64() }
		m.reportedLeft, m.reportedRate = min(1, max(0, left*noise())), max(0.01, m.rate()*noise())
		m.nextReportAt = now + m.reportEvery
	}
	return []float64{m.reportedLeft, m.reportedRate}
}
