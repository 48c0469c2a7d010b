package transport

import (
	"net"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"pineport/clock"
)

// This file accepts connections.

// admissionListener accepts connections, and closes those that are not admitted within admitTimeout. nbio does not see these.
type admissionListener struct {
	net.Listener
	admit  func() bool
	driver *Driver
}

func (l admissionListener) Accept() (net.Conn, error) {
	for {
		wasEmpty := !l.driver.hasPending()
		conn, err := l.Listener.Accept()
		if wasEmpty {
			l.driver.acceptWait.queueWasEmpty()
		}
		for began := clock.Instant(); err == nil && !l.admit() && clock.Since(began) < admitTimeout; {
			time.Sleep(admitTimeout / 50)
		}
		switch {
		case err != nil:
			return nil, err
		case l.admit():
			return l.prepare(conn)
		}
		conn.Close()
	}
}

// prepareRetry is the interval between attempts to prepare an accepted connection.
const prepareRetry = 5 * time.Millisecond

// prepare makes an accepted connection nbio's, which needs another descriptor for a moment. Incident: nbio closed accepted
// connections while no descriptor was free, so that the first request on them got no reply. They are kept until one is free.
func (l admissionListener) prepare(conn net.Conn) (net.Conn, error) {
	for failures := 0; ; failures++ {
		prepared, err := nbio.NBConn(conn)
		if err == nil {
			l.driver.acceptWait.put(prepared)
			if failures > 0 {
				l.driver.log.Warn("accepted connection waited for a descriptor", "attempts", failures, "client", conn.RemoteAddr())
			}
			return prepared, nil
		}
		if !IsTemporary(err) || l.driver.stoppedAccepting.Load() {
			conn.Close()
			return nil, err
		}
		time.Sleep(prepareRetry)
	}
}

// admitTimeout is how long an accepted connection waits to be admitted, as other connections may close in the
// meantime. Connections behind it stay in the accept queue.
const admitTimeout = 50 * time.Millisecond

// StopAccepting closes the listener and leaves established connections open. For up to admitTimeout it first lets
// the connections that are already in the accept queue be accepted. Incident: the kernel reset connections that
// were still queued when the listener was closed, so a request sent immediately after connecting got no response.
func (d *Driver) StopAccepting() {
	for began := clock.Instant(); d.hasPending() && clock.Since(began) < admitTimeout; {
		time.Sleep(admitTimeout / 50)
	}
	d.stoppedAccepting.Store(true)
	d.listener.Close()
}

// hasPending reports whether a connection is waiting in the accept queue.
func (d *Driver) hasPending() (pending bool) {
	l, ok := d.listener.(admissionListener).Listener.(syscall.Conn)
	if !ok {
		return false
	}
	if raw, err := l.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { pending = isReadable(int(fd)) })
	}
	return pending
}
