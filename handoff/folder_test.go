package handoff

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"pineport/dispatch"
)

var discardLogger = slog.New(slog.DiscardHandler)

func acquire(t *testing.T, dir string) (*StateDir, *State, *Link) {
	t.Helper()
	folder, s, link, err := Acquire(t.Context(), dir, "n0", discardLogger)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(folder.Close)
	return folder, s, link
}

// serve simulates an owner that hands over to the first successor and refuses all others.
func serve(t *testing.T, folder *StateDir, state *State) (links chan *Link) {
	t.Helper()
	links = make(chan *Link, 1)
	predecessor := NewPredecessor("n0")
	serialize := make(chan struct{}, 1)
	serialize <- struct{}{}
	if err := folder.Serve(func(link *Link, h *Hello) {
		<-serialize
		defer func() { serialize <- struct{}{} }()
		if decision, reason := predecessor.HelloReceived(h); decision == Refuse {
			link.Refuse(reason)
			return
		}
		folder.Release()
		link.Send(Message{State: state})
		predecessor.HandedOver()
		links <- link
	}); err != nil {
		t.Fatal(err)
	}
	return links
}

// TestHandoff: the state and the messages sent after it must arrive complete, even if the path of the directory is too long for
// a socket address.
func TestHandoff(t *testing.T) {
	dir := t.TempDir() + "/" + strings.Repeat("x", 120)
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	owner, s, link := acquire(t, dir)
	if s != nil || link != nil {
		t.Fatal("got a handoff, but the directory had no owner")
	}
	state := &State{ListVersion: 7, Disabled: []string{"s-1"}, InFlight: []AttemptID{{"r", 1, 5}}, Snapshot: dispatch.Snapshot{TakenAt: 3, Groups: make([]dispatch.GroupSnapshot, 5000)}}
	links := serve(t, owner, state)
	_, s, link = acquire(t, dir)
	if s == nil || s.ListVersion != 7 || len(s.Snapshot.Groups) != 5000 || s.InFlight[0] != state.InFlight[0] || s.Disabled[0] != "s-1" {
		t.Fatalf("%+v", s)
	}
	predecessor := <-links
	for i := range 100 {
		predecessor.Send(Message{AttemptFinished: &dispatch.AttemptFinished{Message: dispatch.MessageID(fmt.Sprint(i)), Outcome: dispatch.Throttled, RetryAfter: 9}})
	}
	received := make(chan *Message, 200)
	go link.Listen(func(message *Message) { received <- message })
	for i := range 100 {
		if message := <-received; message == nil || message.AttemptFinished.Message != dispatch.MessageID(fmt.Sprint(i)) || message.AttemptFinished.RetryAfter != 9 {
			t.Fatalf("%d: %+v", i, message)
		}
	}
	predecessor.Close()
	if message := <-received; message != nil {
		t.Errorf("message after the end of the link: %+v", message)
	}
}

// TestSingleOwner: a new process must not own the directory while another process does. If the owner does not listen, does not
// send its state or has another courier name, the new process must not become the owner before its deadline; if the owner is handing over to
// another process, it must fail with ErrTakenOver. Incident: two processes wrote to the same spool.
func TestSingleOwner(t *testing.T) {
	dir := t.TempDir()
	owner, _, _ := acquire(t, dir)
	tryAcquire := func(courier string) error {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, _, _, err := Acquire(ctx, dir, courier, discardLogger)
		return err
	}
	if err := tryAcquire("n0"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the owner does not listen: got %v, want an exceeded deadline", err)
	}
	predecessor := NewPredecessor("n0")
	var mu sync.Mutex // several successors may connect at once; a courier handles them one by one in its event loop
	if err := owner.Serve(func(link *Link, h *Hello) {
		mu.Lock()
		defer mu.Unlock()
		if decision, reason := predecessor.HelloReceived(h); decision == Refuse {
			link.Refuse(reason)
		} // on HandOver: send nothing, so that the successor waits for the state
	}); err != nil {
		t.Fatal(err)
	}
	if err := tryAcquire("n1"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the new process has another courier name: got %v, want an exceeded deadline", err)
	}
	if err := tryAcquire("n0"); err == nil {
		t.Error("the owner hangs, but another process owns the directory too")
	}
	if err := tryAcquire("n0"); !errors.Is(err, ErrTakenOver) {
		t.Errorf("the owner is handing over to another process: got %v, want ErrTakenOver", err)
	}
	for _, text := range []string{"", "{", "nonsense\n", "{}\n", strings.Repeat("x", 1<<16)} { // connections that send no valid hello must be closed
		conn, err := net.Dial("unix", owner.socketPath())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, text)
		conn.(*net.UnixConn).CloseWrite()
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !strings.Contains(err.Error(), "reset") {
			t.Errorf("%.10q: %v", text, err)
		}
		conn.Close()
	}
	owner.Release()
	if folder, s, _ := acquire(t, dir); folder == nil || s != nil {
		t.Error("after the owner has released the lock, a new process must own the directory, without a handed over state")
	}
}
