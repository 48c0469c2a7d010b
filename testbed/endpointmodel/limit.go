package endpointmodel

import (
	"math/rand/v2"

	"pineport/dispatch"
)

// meter counts calls against a limit.
type meter struct {
	limit  Limit
	rng    *rand.Rand
	shrunk float64 // what is left of the limit, by faults
	tokens float64
	at     dispatch.Micros
	span   int64 // the window that is counted
	used   int

	every          dispatch.Micros // of its reports
	noise          float64
	reportAt       dispatch.Micros
	leftAt, rateAt float64
}

func (m *meter) rate() float64 { return m.limit.PerSec * m.shrunk }

// saved is how many calls may be saved up: half a second's value.
func (m *meter) saved() float64 { return max(1, m.rate()/2) }

func (m *meter) fill(now dispatch.Micros) {
	switch m.limit.Kind {
	case Rate:
		m.tokens = min(m.saved(), m.tokens+m.rate()*float64(now-m.at)/1e6)
		m.at = now
	case Window:
		if span := int64(now / m.limit.Window); span != m.span {
			m.span, m.used = span, 0
		}
	}
}

func (m *meter) windowful() int { return max(1, int(m.rate()*float64(m.limit.Window)/1e6)) }

// take tells whether a call is within the limit; where it is not, how long to wait, if that is notified.
func (m *meter) take(now dispatch.Micros) (ok bool, wait dispatch.Micros) {
	m.fill(now)
	switch m.limit.Kind {
	case NoLimit:
		return true, 0
	case Window:
		if m.used < m.windowful() {
			m.used++
			return true, 0
		}
		wait = dispatch.Micros(m.span+1)*m.limit.Window - now
	default:
		if m.tokens >= 1 {
			m.tokens--
			return true, 0
		}
		if m.limit.RefusedCount {
			m.tokens = max(-m.saved(), m.tokens-1)
		}
		wait = dispatch.Micros((1 - m.tokens) / max(m.rate(), 1e-3) * 1e6)
	}
	if m.rng.Float64() >= m.limit.Tells {
		return false, 0
	}
	return false, max(wait, m.limit.LeastWait)
}

// report is the share of the limit that is left, and the limit; late and noisy, as it is read now and then.
func (m *meter) report(now dispatch.Micros) []float64 {
	if m.limit.Kind == NoLimit {
		return []float64{0, 0}
	}
	if now >= m.reportAt {
		m.fill(now)
		left := max(0, m.tokens) / m.saved()
		if m.limit.Kind == Window {
			left = 1 - float64(m.used)/float64(m.windowful())
		}
		blur := func() float64 { return 1 + m.noise*m.rng.NormFloat64() }
		m.leftAt, m.rateAt = min(1, max(0, left*blur())), max(0.01, m.rate()*blur())
		m.reportAt = now + m.every
	}
	return []float64{m.leftAt, m.rateAt}
}
