package transport

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestClosedNumberEndsNobodyElse: connections are closed by this side just as their peers end them, while others come, have their descriptors'
// numbers, and are served. Failure: the end of a connection that was closed outside of the poller lay among the events that the poller was
// about to handle, and was taken for that of the newcomer (seen in cmd/pineport, TestSystemCallsFail; rare here, as the clients of this process take the numbers).
func TestClosedNumberEndsNobodyElse(t *testing.T) {
	const lasting = time.Second
	echo := func() Handler { return newRecordingHandler(func(conn *Conn, b []byte) { conn.Write(b) }) }
	driver, addr := open(t, echo)
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peers.Close()
	go func() { // each answers and ends its connection
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
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
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
		all.Go(func() {
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
				conn.(*net.TCPConn).SetLinger(0) // no ports in TIME_WAIT
				conn.Close()
			}
		})
	}
	time.Sleep(lasting)
	stopped.Store(true)
	all.Wait()
	if lost.Load() > 0 || served.Load() < 100 {
		t.Errorf("%d of %d connections ended with no answer", lost.Load(), served.Load())
	}
}
