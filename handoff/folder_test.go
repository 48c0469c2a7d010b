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

var quiet = slog.New(slog.DiscardHandler)

func acquire(t *testing.T, dir string) (*StateDir, *State, *Link) {
	t.Helper()
	folder, s, link, err := Acquire(t.Context(), dir, "n0", quiet)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(folder.Close)
	return folder, s, link
}

// serve plays an owner that gives to the first that knocks, and refuses all others.
func serve(t *testing.T, folder *StateDir, state *State) (links chan *Link) {
	t.Helper()
	links = make(chan *Link, 1)
	g := NewPredecessor("n0")
	arrivals := make(chan struct{}, 1)
	arrivals <- struct{}{}
	if err := folder.Serve(func(link *Link, h *Hello) {
		<-arrivals
		defer func() { arrivals <- struct{}{} }()
		if do, why := g.HelloReceived(h); do == Refuse {
			link.Refuse(why)
			return
		}
		folder.Release()
		link.Send(Message{State: state})
		g.HandedOver()
		links <- link
	}); err != nil {
		t.Fatal(err)
	}
	return links
}

// TestHandedOver: the state and all that follows it arrive whole, over a folder with a name too long for a socket's.
func TestHandedOver(t *testing.T) {
	dir := t.TempDir() + "/" + strings.Repeat("x", 120)
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	old, s, link := acquire(t, dir)
	if s != nil || link != nil {
		t.Fatal("handed over by nobody")
	}
	state := &State{ListVersion: 7, Disabled: []string{"s-1"}, InFlight: []AttemptID{{"r", 1, 5}}, Snapshot: dispatch.Snapshot{TakenAt: 3, Groups: make([]dispatch.GroupSnapshot, 5000)}}
	links := serve(t, old, state)
	_, s, link = acquire(t, dir)
	if s == nil || s.ListVersion != 7 || len(s.Snapshot.Groups) != 5000 || s.InFlight[0] != state.InFlight[0] || s.Disabled[0] != "s-1" {
		t.Fatalf("%+v", s)
	}
	predecessor := <-links
	for i := range 100 {
		predecessor.Send(Message{AttemptFinished: &dispatch.AttemptFinished{Message: dispatch.MessageID(fmt.Sprint(i)), Outcome: dispatch.Throttled, RetryAfter: 9}})
	}
	heard := make(chan *Message, 200)
	go link.Listen(func(message *Message) { heard <- message })
	for i := range 100 {
		if message := <-heard; message == nil || message.AttemptFinished.Message != dispatch.MessageID(fmt.Sprint(i)) || message.AttemptFinished.RetryAfter != 9 {
			t.Fatalf("%d: %+v", i, message)
		}
	}
	predecessor.Close()
	if message := <-heard; message != nil {
		t.Errorf("after the end: %+v", message)
	}
}

// TestOneAtATime: beside an owner that says nothing, a stranger, or one that has given to another, a new process waits or ends,
// and never owns the folder. Failure: two processes wrote to one spool.
func TestOneAtATime(t *testing.T) {
	dir := t.TempDir()
	old, _, _ := acquire(t, dir)
	brief := func(courier string) error {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, _, _, err := Acquire(ctx, dir, courier, quiet)
		return err
	}
	if err := brief("n0"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the owner says nothing: %v", err)
	}
	g := NewPredecessor("n0")
	var one sync.Mutex // several may knock at once; the courier has an event loop that takes them in step
	if err := old.Serve(func(link *Link, h *Hello) {
		one.Lock()
		defer one.Unlock()
		if do, why := g.HelloReceived(h); do == Refuse {
			link.Refuse(why)
		} // else it hangs, and the new one waits
	}); err != nil {
		t.Fatal(err)
	}
	if err := brief("n1"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a stranger: %v", err)
	}
	if err := brief("n0"); err == nil {
		t.Error("the owner hangs, and the folder is owned twice")
	}
	if err := brief("n0"); !errors.Is(err, ErrTakenOver) {
		t.Errorf("a second new process: %v", err)
	}
	for _, text := range []string{"", "{", "nonsense\n", "{}\n", strings.Repeat("x", 1<<16)} { // whoever knocks and says no hello
		conn, err := net.Dial("unix", old.path())
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
	old.Release()
	if folder, s, _ := acquire(t, dir); folder == nil || s != nil {
		t.Error("the owner has ended, and its folder is not to be had")
	}
}
