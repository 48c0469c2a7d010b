package admin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pineport/testbed/port"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// desk stands in for the courier and writes down what it was asked.
type fakeCourier struct {
	mu       sync.Mutex
	serving  bool
	commands []string
	hanging  bool
}

func (d *fakeCourier) Serving() bool { return d.serving }

func (d *fakeCourier) Metrics() *Metrics {
	return &Metrics{Success: map[string]int64{"update": 3}, Overload: map[string]int64{"update": 0}, Error: map[string]int64{"update": 1},
		Dispatches: 5, Concurrent: 2, Targets: 4, TargetsDisabled: 1}
}

func (d *fakeCourier) Execute(ctx context.Context, what Command) error {
	if d.hanging {
		<-ctx.Done()
		return ctx.Err()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.commands = append(d.commands, fmt.Sprint(what))
	if m, ok := what.(SetDisabled); ok && m.Endpoint == "stranger" {
		return ErrUnknownEndpoint
	}
	return nil
}

func begin(t *testing.T, most int) (s *Server, addr string) {
	t.Helper()
	addr, letGo, err := port.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(letGo)
	if s, err = Open(addr, most, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s, addr
}

// raw sends bytes in pieces and returns the status of the answer, 0 where none came.
func raw(t *testing.T, addr, text string, piece int) (status int, body string) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	for at := 0; at < len(text); at += piece {
		if _, err := io.WriteString(conn, text[at:min(len(text), at+piece)]); err != nil {
			break // it has been answered already
		}
		if piece < len(text) {
			time.Sleep(time.Millisecond)
		}
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	all, _ := io.ReadAll(answer.Body)
	if !answer.Close {
		t.Errorf("%.40q: the connection stays", text)
	}
	return answer.StatusCode, string(all)
}

func call(method, path string) string { return method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func TestCalls(t *testing.T) {
	s, addr := begin(t, 8)
	for _, path := range []string{"/status", "/status/metrics"} {
		if status, _ := raw(t, addr, call("GET", path), 999); status != 503 {
			t.Errorf("%s before there is a courier: %d", path, status)
		}
	}
	d := &fakeCourier{serving: true}
	s.SetCourier(d)
	head := strings.Repeat("x", 2*maxHead)
	for text, want := range map[string]int{
		call("GET", "/status"):                     200,
		call("GET", "/status/metrics"):             200,
		call("POST", "/maintenance/enter/s-1"):     200,
		call("POST", "/maintenance/exit/s%2D1"):    200,
		call("POST", "/standby"):                   200,
		call("POST", "/active"):                    200,
		call("POST", "/maintenance/exit/stranger"): 404,
		call("POST", "/maintenance/enter/"):        404,
		call("POST", "/maintenance/enter/a/b"):     404,
		call("POST", "/maintenance//enter/a"):      404,
		call("GET", "/"):                           404,
		call("GET", "/nothing"):                    404,
		call("GET", "/standby"):                    405,
		call("POST", "/status"):                    405,
		call("DELETE", "/maintenance/enter/s-1"):   405,
		"POST /standby HTTP/1.1\r\nHost: x\r\nContent-Length: 9999\r\n\r\n" + head:          413,
		"POST /standby HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n": 413,
		"GET /status HTTP/1.1\r\nHost: x\r\nLong: " + head + "\r\n\r\n":                     431,
		"NONSENSE\r\n\r\n": 400,
	} {
		for _, piece := range []int{1 << 20, 7} {
			if status, body := raw(t, addr, text, piece); status != want {
				t.Errorf("%.60q in pieces of %d: %d %.60q, not %d", text, piece, status, body, want)
			}
		}
	}
	counts := map[string]int{}
	for _, a := range d.commands {
		counts[a]++
	}
	for what, n := range map[string]int{"{s-1 true}": 2, "{s-1 false}": 2, "{true}": 2, "{false}": 2} {
		if counts[what] != n {
			t.Errorf("%s was asked %d times: %v", what, counts[what], counts)
		}
	}
	_, body := raw(t, addr, call("GET", "/status/metrics"), 999)
	var f Metrics
	if err := json.Unmarshal([]byte(body), &f); err != nil || f.Success["update"] != 3 || f.Dispatches != 5 || f.TargetsDisabled != 1 {
		t.Errorf("%v: %s", err, body)
	}
	d.serving, d.hanging = false, true
	if status, _ := raw(t, addr, call("GET", "/status"), 999); status != 503 {
		t.Errorf("clients are not taken, and status says %d", status)
	}
	// Failure: an event loop that stands still left operators without an answer in time.
	if status, _ := raw(t, addr, call("POST", "/standby"), 999); status != 503 {
		t.Errorf("nobody acts, and the call got %d", status)
	}
}

// TestHeldConnections. Failure: callers that held connections without a whole call took all of them, and the next call
// found none.
func TestHeldConnections(t *testing.T) {
	s, addr := begin(t, 4)
	s.SetCourier(&fakeCourier{serving: true})
	var dumb []net.Conn
	for i := range 40 {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if i%2 == 0 {
			io.WriteString(conn, "GET /sta")
		}
		dumb = append(dumb, conn)
		if i%5 == 4 {
			if status, _ := raw(t, addr, call("GET", "/status"), 5); status != 200 {
				t.Fatalf("beside %d held connections: %d", i+1, status)
			}
		}
	}
	dumb[0].SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := dumb[0].Read(make([]byte, 1)); err == nil {
		t.Error("the first held connection got an answer")
	} else if late, ok := err.(net.Error); ok && late.Timeout() {
		t.Error("the first held connection is still up")
	}
}
