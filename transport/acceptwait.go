package transport

import (
	"sync"
	"time"

	"github.com/lesismal/nbio"

	"pineport/clock"
)

// acceptWait bounds how long accepted connections have waited in the accept queue, which the system does not tell: no longer than since
// the queue was last seen empty. Connections wait there while accept fails, or while no descriptor is free.
type acceptWait struct {
	emptyAt time.Time // when the accept queue was last empty; only the accepting goroutine uses it
	delays  sync.Map  // time.Duration by *nbio.Conn, until the connection is opened
}

// minAcceptDelay is the shortest delay that is worth keeping.
const minAcceptDelay = time.Millisecond

// queueWasEmpty records that the accept queue was empty until now.
func (w *acceptWait) queueWasEmpty() { w.emptyAt = clock.Instant() }

// put keeps the delay of a connection that was accepted now.
func (w *acceptWait) put(conn *nbio.Conn) {
	if delay := clock.Since(w.emptyAt); !w.emptyAt.IsZero() && delay >= minAcceptDelay {
		w.delays.Store(conn, delay)
	}
}

// take returns the delay of a connection and drops it.
func (w *acceptWait) take(conn *nbio.Conn) time.Duration {
	delay, _ := w.delays.LoadAndDelete(conn)
	known, _ := delay.(time.Duration)
	return known
}
