package endpointmodel

import (
	"math/rand/v2"

	"pineport/dispatch"
)

// limiter counts calls against a limit.
type limiter struct {
	limit        Limit
	rng          *rand.Rand
	remaining    float64 // share of the limit that remains during Shrink faults; 1: no such fault
	tokens       float64
	filledAt     dispatch.Micros
	windowNumber int64 // number of the current window since time 0
	usedInWindow int

	reportEvery                dispatch.Micros // interval at which the load report is updated
	reportNoise                float64
	nextReportAt               dispatch.Micros
	reportedLeft, reportedRate float64
}

func (l *limiter) rate() float64 { return l.limit.PerSec * l.remaining }

// burst returns the maximum number of tokens: the calls of half a second, at least 1.
func (l *limiter) burst() float64 { return max(1, l.rate()/2) }

func (l *limiter) refill(now dispatch.Micros) {
	switch l.limit.Kind {
	case RateLimit:
		l.tokens = min(l.burst(), l.tokens+l.rate()*float64(now-l.filledAt)/1e6)
		l.filledAt = now
	case WindowLimit:
		if number := int64(now / l.limit.Window); number != l.windowNumber {
			l.windowNumber, l.usedInWindow = number, 0
		}
	}
}

func (l *limiter) windowLimit() int { return max(1, int(l.rate()*float64(l.limit.Window)/1e6)) }

// allow counts a call and reports whether it is within the limit. If it is not, allow also returns the
// Retry-After time, or 0 if the destination sends none.
func (l *limiter) allow(now dispatch.Micros) (ok bool, retryAfter dispatch.Micros) {
	l.refill(now)
	switch l.limit.Kind {
	case NoLimit:
		return true, 0
	case WindowLimit:
		if l.usedInWindow < l.windowLimit() {
			l.usedInWindow++
			return true, 0
		}
		retryAfter = dispatch.Micros(l.windowNumber+1)*l.limit.Window - now
	default:
		if l.tokens >= 1 {
			l.tokens--
			return true, 0
		}
		if l.limit.CountThrottled {
			l.tokens = max(-l.burst(), l.tokens-1)
		}
		retryAfter = dispatch.Micros((1 - l.tokens) / max(l.rate(), 1e-3) * 1e6)
	}
	if l.rng.Float64() >= l.limit.RetryAfterShare {
		return false, 0
	}
	return false, max(retryAfter, l.limit.MinRetryAfter)
}

// report returns a load report: the share of the limit that is left, and the limit in calls per second. Both
// values are noisy and up to reportEvery old.
func (l *limiter) report(now dispatch.Micros) []float64 {
	if l.limit.Kind == NoLimit {
		return []float64{0, 0}
	}
	if now >= l.nextReportAt {
		l.refill(now)
		left := max(0, l.tokens) / l.burst()
		if l.limit.Kind == WindowLimit {
			left = 1 - float64(l.usedInWindow)/float64(l.windowLimit())
		}
		noise := func() float64 { return 1 + l.reportNoise*l.rng.NormFloat64() }
		l.reportedLeft, l.reportedRate = min(1, max(0, left*noise())), max(0.01, l.rate()*noise())
		l.nextReportAt = now + l.reportEvery
	}
	return []float64{l.reportedLeft, l.reportedRate}
}
