package transport

import (
	"log/slog"
	"net"
	"testing"
	"time"
)

// TestStopAcceptingBesideBlockingHolder guards against an event loop that hangs as an upgrade begins. A supervisor that passes its listening
// socket to the next process may make it blocking, for all that share it. The next accept then waited in the kernel, and closing the
// listener waited for it, until some client connected.
func TestStopAcceptingBesideBlockingHolder(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	shared, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer shared.Close()
	driver, err := Open(listener.Addr().String(), listener, 1024, slog.New(slog.DiscardHandler), func() bool { return true },
		func() Handler { return newRecordingHandler(nil) })
	if err != nil {
		t.Fatal(err)
	}
	defer driver.Close()
	time.Sleep(50 * time.Millisecond) // the driver waits for a connection
	shared.Fd()                       // as os/exec does: makes the socket blocking
	for range 2 {
		client, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		time.Sleep(50 * time.Millisecond)
	}
	stopped := make(chan struct{})
	go func() {
		driver.StopAccepting()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(closeTimeout):
		t.Errorf("StopAccepting had not returned after %v", closeTimeout)
		if client, err := net.Dial("tcp", listener.Addr().String()); err == nil {
			client.Close() // lets the accept return
		}
	}
}
