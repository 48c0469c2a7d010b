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
	// talkTimeout is longer than a predecessor needs to hand over; the wait for the lock goes on after it.
	talkTimeout = 3 * time.Second
)

// StateDir is the state folder, owned by this process.
type StateDir struct {
	dir      string
	lock     *os.File
	listener net.Listener
	opened   *os.File // the folder itself: a short path to the socket
}

// ErrTakenOver is returned where another process is taking over already.
var ErrTakenOver = errors.New("another process is taking over")

// Acquire returns once this process owns the folder: at once where nobody does, or when its owner has handed it over or has
// exited. The state and the link to the predecessor are nil unless it was handed over.
func Acquire(ctx context.Context, dir, courier string, log *slog.Logger) (*StateDir, *State, *Link, error) {
	folder := &StateDir{dir: dir}
	var err error
	if folder.lock, err = os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return nil, nil, nil, err
	}
	if folder.opened, err = os.Open(dir); err != nil {
		folder.lock.Close()
		return nil, nil, nil, err
	}
	said := ""
	for {
		switch free, err := folder.tryLock(); {
		case err != nil:
			log.Warn("state folder cannot be locked: another process could use it", "error", err)
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
		if err.Error() != said {
			said = err.Error()
			log.Warn("owner of the state folder refuses the handoff: waiting for its exit", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// awaitLock waits for the lock of a folder that was handed over: it is free before the state is sent.
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

func (f *StateDir) tryLock() (bool, error) {
	err := syscall.Flock(int(f.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return false, nil
	}
	return err == nil, err
}

// path is the path of the socket; the folder's own path may be too long for one.
func (f *StateDir) path() string {
	return fmt.Sprintf("/proc/self/fd/%d/%s", f.opened.Fd(), socketName)
}

// requestHandoff asks the owner to hand the folder over.
func (f *StateDir) requestHandoff(ctx context.Context, courier string) (*State, *Link, error) {
	conn, err := (&net.Dialer{Timeout: talkTimeout}).DialContext(ctx, "unix", f.path())
	if err != nil {
		return nil, nil, err
	}
	link := newLink(conn)
	conn.SetReadDeadline(clock.Instant().Add(talkTimeout))
	link.Send(Message{Hello: &Hello{Version: Version, Courier: courier}})
	message, err := link.next()
	if err != nil {
		link.Close()
		return nil, nil, err
	}
	successor := &Successor{}
	switch step, why := successor.MessageReceived(message); step {
	case TakeOver:
		conn.SetReadDeadline(time.Time{})
		return message.State, link, nil
	case Yield:
		link.Close()
		return nil, nil, ErrTakenOver
	default:
		link.Close()
		return nil, nil, fmt.Errorf("refused: %s", why)
	}
}

// Serve lets successors connect from now on; arrived is called for each, with its link and its hello.
func (f *StateDir) Serve(arrived func(*Link, *Hello)) error {
	os.Remove(filepath.Join(f.dir, socketName)) // of an owner that has exited
	l, err := net.Listen("unix", f.path())
	if err != nil {
		return err
	}
	l.(*net.UnixListener).SetUnlinkOnClose(false) // the next owner has made its own by then
	f.listener = l
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				link := newLink(conn)
				conn.SetReadDeadline(clock.Instant().Add(talkTimeout))
				if message, err := link.next(); err != nil || message.Hello == nil {
					link.Close()
				} else {
					conn.SetReadDeadline(time.Time{})
					arrived(link, message.Hello)
				}
			}()
		}
	}()
	return nil
}

// Release frees the lock; whoever takes it owns the folder.
func (f *StateDir) Release() {
	if f.listener != nil {
		f.listener.Close()
	}
	f.lock.Close()
}

// Close frees the lock and the folder.
func (f *StateDir) Close() {
	f.Release()
	f.opened.Close()
}
