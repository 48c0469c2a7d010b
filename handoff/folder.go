package handoff

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"pineport/clock"
)

const (
	lockName      = "owner.lock"
	socketName    = "upgrade.sock"
	retryInterval = 20 * time.Millisecond
	// handshakeTimeout is the time limit for connecting, and for each process to wait for the first message of the
	// other. It must be longer than a predecessor needs to hand over. After a time-out, Acquire tries the lock and the
	// request again.
	handshakeTimeout = 3 * time.Second
)

// StateDir is the state directory with its ownership lock and its handoff socket.
type StateDir struct {
	dir      string
	lock     *os.File
	listener net.Listener
	dirFile  *os.File // the directory itself, for a short path to the socket
}

// ErrTakenOver is returned when another process is already taking over.
var ErrTakenOver = errors.New("another process is taking over")

// Acquire returns once this process owns the state directory dir: at once if it has no owner, otherwise when the owner has handed
// it over or has exited. The state and the link to the predecessor are nil unless the directory was handed over. If the first
// attempts to lock fail with an error, Acquire logs a warning and returns the directory without the lock.
func Acquire(ctx context.Context, dir, courier string, log *slog.Logger) (*StateDir, *State, *Link, error) {
	folder := &StateDir{dir: dir}
	var err error
	if folder.lock, err = os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return nil, nil, nil, err
	}
	if folder.dirFile, err = os.Open(dir); err != nil {
		folder.lock.Close()
		return nil, nil, nil, err
	}
	lastLogged := ""
	for {
		switch free, err := folder.tryLock(); {
		case err != nil:
			log.Warn("continuing without the lock of the state directory: another process may use it at the same time", "error", err)
			return folder, nil, nil, nil
		case free:
			return folder, nil, nil, nil
		}
		state, link, err := folder.requestHandoff(ctx, courier)
		if err == nil {
			return folder.awaitLock(ctx, state, link)
		}
		if errors.Is(err, ErrTakenOver) || ctx.Err() != nil {
			folder.Close()
			return nil, nil, nil, errors.Join(err, ctx.Err())
		}
		if err.Error() != lastLogged {
			lastLogged = err.Error()
			log.Warn("no handoff of the state directory: retrying until the owner hands over or exits", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// awaitLock acquires the lock after a handoff. The predecessor has released the lock before it sent the state, so awaitLock only
// waits if another process has acquired the lock in between. If locking fails with an error, it returns without the lock.
func (f *StateDir) awaitLock(ctx context.Context, state *State, link *Link) (*StateDir, *State, *Link, error) {
	for {
		if free, err := f.tryLock(); free || err != nil {
			return f, state, link, nil
		}
		select {
		case <-ctx.Done():
			link.Close()
			f.Close()
			return nil, nil, nil, ctx.Err()
		case <-time.After(retryInterval / 10):
		}
	}
}

// tryLock tries to acquire the lock without waiting and reports whether this process has it.
func (f *StateDir) tryLock() (bool, error) {
	err := syscall.Flock(int(f.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return false, nil
	}
	return err == nil, err
}

// socketPath returns a path of the socket through /proc, because the path of the directory may exceed the length limit of socket
// addresses.
func (f *StateDir) socketPath() string {
	return fmt.Sprintf("/proc/self/fd/%d/%s", f.dirFile.Fd(), socketName)
}

// requestHandoff asks the owner of the state directory to hand it over.
func (f *StateDir) requestHandoff(ctx context.Context, courier string) (*State, *Link, error) {
	conn, err := (&net.Dialer{Timeout: handshakeTimeout}).DialContext(ctx, "unix", f.socketPath())
	if err != nil {
		return nil, nil, err
	}
	link := NewLink(conn)
	conn.SetReadDeadline(clock.Instant().Add(handshakeTimeout))
	link.Send(Message{Hello: &Hello{Version: Version, Courier: courier}})
	message, err := link.next()
	if err != nil {
		link.Close()
		return nil, nil, err
	}
	successor := &Successor{}
	switch decision, reason := successor.MessageReceived(message); decision {
	case TakeOver:
		conn.SetReadDeadline(time.Time{})
		return message.State, link, nil
	case Yield:
		link.Close()
		return nil, nil, ErrTakenOver
	default:
		link.Close()
		return nil, nil, fmt.Errorf("predecessor did not hand over: %s", reason)
	}
}

// Serve starts to accept connections from successors. It calls onHello for each one that sends a hello.
func (f *StateDir) Serve(onHello func(*Link, *Hello)) error {
	os.Remove(filepath.Join(f.dir, socketName)) // socket of an owner that has exited
	listener, err := net.Listen("unix", f.socketPath())
	if err != nil {
		return err
	}
	listener.(*net.UnixListener).SetUnlinkOnClose(false) // when it is closed, the path may belong to the socket of the next owner
	f.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				link := NewLink(conn)
				conn.SetReadDeadline(clock.Instant().Add(handshakeTimeout))
				if message, err := link.next(); err != nil || message.Hello == nil {
					link.Close()
				} else {
					conn.SetReadDeadline(time.Time{})
					onHello(link, message.Hello)
				}
			}()
		}
	}()
	return nil
}

// Release stops accepting successors and releases the lock. The process that acquires the lock next owns the directory.
func (f *StateDir) Release() {
	if f.listener != nil {
		f.listener.Close()
	}
	f.lock.Close()
}

// Close releases the lock and closes the directory.
func (f *StateDir) Close() {
	f.Release()
	f.dirFile.Close()
}
