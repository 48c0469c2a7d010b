package transport

import (
	"net"
	"os"
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
	ready  *os.File // duplicate of the socket, on which Accept waits; nil if there is none
}

// newAdmissionListener wraps a listener. Without a duplicate of the socket, as descriptors may be short, Accept waits in the listener.
func newAdmissionListener(listener net.Listener, admit func() bool, driver *Driver) admissionListener {
	wrapped := admissionListener{Listener: listener, admit: admit, driver: driver}
	if socket, ok := listener.(*net.TCPListener); ok {
		if duplicate, err := socket.File(); err == nil {
			wrapped.ready = duplicate
		}
	}
	return wrapped
}

// awaitPending waits until a connection can be accepted, or the listener is closed. It waits outside of the accept system call, because
// the socket may be shared with a supervisor, which makes it blocking for all as it starts a process with it: an accept then waits in the
// kernel, where closing the listener does not end it.
func (l admissionListener) awaitPending() {
	if l.ready == nil {
		return
	}
	if raw, err := l.ready.SyscallConn(); err == nil {
		_ = raw.Read(func(fd uintptr) bool { return isReadable(int(fd)) })
	}
}

// Close closes the listener.
func (l admissionListener) Close() error {
	if l.ready != nil {
		l.ready.Close()
	}
	return l.Listener.Close()
}

func (l admissionListener) Accept() (net.Conn, error) {
	for {
		wasEmpty := !l.driver.hasPending()
		l.awaitPending()
		l.setNonblocking()
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

// setNonblocking makes the socket nonblocking again: another process may take the pending connection first.
func (l admissionListener) setNonblocking() {
	l.control(func(fd uintptr) { _ = syscall.SetNonblock(int(fd), true) })
}

// control runs f with the descriptor of the socket, if the listener has one.
func (l admissionListener) control(f func(fd uintptr)) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := socket.SyscallConn(); err == nil {
		_ = raw.Control(f)
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
	d.closeListener()
}

// closeListener closes the listener, and waits for that up to admitTimeout: an accept in the kernel holds it up until a client connects.
func (d *Driver) closeListener() {
	closed := make(chan struct{})
	go func() {
		d.listener.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(admitTimeout):
		d.log.Warn("listener not closed yet")
	}
}

// hasPending reports whether a connection is waiting in the accept queue.
func (d *Driver) hasPending() (pending bool) {
	d.listener.(admissionListener).control(func(fd uintptr) { pending = isReadable(int(fd)) })
	return pending
}
