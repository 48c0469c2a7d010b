package load

import (
	"bufio"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestReplies checks that each outcome of a submission has its own Kind, and that a command is sent again over a new connection if the courier
// has closed the pooled one.
func TestReplies(t *testing.T) {
	var conns atomic.Int32
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					switch strings.TrimSpace(line) {
					case "once": // replies, and closes the pooled connection 50 ms later
						c.Write([]byte("+OK\r\n"))
						time.Sleep(50 * time.Millisecond)
						return
					case "cut":
						return
					case "silent":
					case "busy":
						c.Write([]byte("-BUSY 250\r\n"))
					default:
						c.Write([]byte("-ERR no\r\n"))
					}
				}
			}()
		}
	}()
	p := NewPool(l.Addr().String())
	defer p.Close()
	for _, c := range []struct {
		text string
		want Kind
	}{{"busy", Busy}, {"other", Failed}, {"once", OK}} {
		r := p.Do([]byte(c.text + "\n"))
		if r.Kind != c.want || c.want == Busy && r.RetryAfter != 250*time.Millisecond {
			t.Errorf("%s: %+v", c.text, r)
		}
	}
	time.Sleep(100 * time.Millisecond)
	before := conns.Load()
	if r := p.Do([]byte("busy\n")); r.Kind != Busy || conns.Load() != before+1 {
		t.Errorf("after the pooled connection was closed: %+v, %d connections", r, conns.Load())
	}
	if r := p.Do([]byte("silent\n")); r.Kind != TimedOut {
		t.Errorf("%+v", r)
	}
	if r := p.Do([]byte("cut\n")); r.Kind != ConnectionLost {
		t.Errorf("%+v", r)
	}
	l.Close()
	if r := NewPool(l.Addr().String()).Do(nil); r.Kind != Unreachable {
		t.Errorf("%+v", r)
	}
}

// TestLatenessViolation checks that a missed schedule is reported.
func TestLatenessViolation(t *testing.T) {
	l := NewLateness()
	for range 1000 {
		l.Record(time.Millisecond)
	}
	if text := l.Violation(); text != "" {
		t.Error(text)
	}
	for range 20 {
		l.Record(80 * time.Millisecond)
	}
	if l.Violation() == "" {
		t.Error("20 of 1,020 messages were late, and no violation was reported")
	}
	sent := 0
	late := NewLateness()
	Run(time.Now().Add(-time.Second), 1, func(int) time.Duration { return 0 }, func(int) { sent++ }, late, nil)
	if late.Violation() == "" {
		t.Error("a message was 1 s late, and no violation was reported")
	}
}
