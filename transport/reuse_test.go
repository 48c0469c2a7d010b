package transport

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestReusedDescriptorKeepsNewConnection closes connections at the moment when their peers close them, while new connections are accepted that
// may reuse the descriptor numbers. Incident: a connection was closed outside the poller while its end-of-file event was still queued, and the
// event closed a new connection with the same descriptor number. The failure was seen in TestSystemCallsFail of cmd/pineport; it is rare here,
// since the clients run in the same process and take most of the released numbers.
func TestReusedDescriptorKeepsNewConnection(t *testing.T) {
	const duration = time.Second
	echo := func() Handler { return newRecordingHandler(func(conn *Conn, b []byte) { conn.Write(b) }) }
	driver, addr := open(t, echo)
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peers.Close()
	go func() { // responds on each connection and closes it
		for {
			conn, err := peers.Accept()
			if err != nil {
				return
			}
			io.WriteString(conn, "answer")
			conn.Close()
		}
	}()
	var stopped atomic.Bool
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for !stopped.Load() {
				answered := make(chan struct{}, 8)
				conn := driver.Dial(peers.Addr().String(), time.Second, newRecordingHandler(func(*Conn, []byte) { answered <- struct{}{} }))
				select {
				case <-answered:
				case <-time.After(time.Second):
				}
				conn.Close()
			}
		})
	}
	var served, lost atomic.Int64
	for range 8 {
		wg.Go(func() {
			for !stopped.Load() {
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					continue
				}
				conn.SetDeadline(time.Now().Add(2 * time.Second))
				io.WriteString(conn, "x")
				if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
					lost.Add(1)
				}
				served.Add(1)
				conn.(*net.TCPConn).SetLinger(0) // avoid ports in TIME_WAIT
				conn.Close()
			}
		})
	}
	time.Sleep(duration)
	stopped.Store(true)
	wg.Wait()
	if lost.Load() > 0 || served.Load() < 100 {
		t.Errorf("%d of %d connections ended without a response; want none, and at least 100 connections", lost.Load(), served.Load())
	}
}
