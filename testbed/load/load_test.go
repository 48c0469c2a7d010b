package load

import (
	"bufio"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestReplies: each way in which a courier may answer, or not, is notified apart; a request that crosses the close of a kept
// connection goes once more over a new one.
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
					case "once": // answers, and closes the kept connection a little later
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
		if r.Kind != c.want || c.want == Busy && r.Again != 250*time.Millisecond {
			t.Errorf("%s: %+v", c.text, r)
		}
	}
	time.Sleep(100 * time.Millisecond)
	before := conns.Load()
	if r := p.Do([]byte("busy\n")); r.Kind != Busy || conns.Load() != before+1 {
		t.Errorf("over the closed connection: %+v, %d connections", r, conns.Load())
	}
	if r := p.Do([]byte("silent\n")); r.Kind != Silent {
		t.Errorf("%+v", r)
	}
	if r := p.Do([]byte("cut\n")); r.Kind != Cut {
		t.Errorf("%+v", r)
	}
	l.Close()
	if r := NewPool(l.Addr().String()).Do(nil); r.Kind != Down {
		t.Errorf("%+v", r)
	}
}

// TestLatenessIsReported: a run whose schedule was not kept says so.
func TestLatenessIsReported(t *testing.T) {
	l := NewLateness()
	for range 1000 {
		l.Note(time.Millisecond)
	}
	if text := l.Behind(); text != "" {
		t.Error(text)
	}
	for range 20 {
		l.Note(80 * time.Millisecond)
	}
	if l.Behind() == "" {
		t.Error("two in a hundred were late, and nothing was said")
	}
	sent := 0
	late := NewLateness()
	Run(time.Now().Add(-time.Second), 1, func(int) time.Duration { return 0 }, func(int) { sent++ }, late, nil)
	if late.Behind() == "" {
		t.Error("a second late, and nothing was said")
	}
}
