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

// fakeCourier is a stand-in for the courier that records the commands it receives.
type fakeCourier struct {
	mu       sync.Mutex
	serving  bool
	commands []string
	blocked  bool
}

func (c *fakeCourier) Serving() bool { return c.serving }

func (c *fakeCourier) Metrics() *Metrics {
	return &Metrics{Success: map[string]int64{"update": 3}, Overload: map[string]int64{"update": 0}, Error: map[string]int64{"update": 1},
		Dispatches: 5, Concurrent: 2, Targets: 4, TargetsDisabled: 1}
}

func (c *fakeCourier) Execute(ctx context.Context, command Command) error {
	if c.blocked {
		<-ctx.Done()
		return ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commands = append(c.commands, fmt.Sprint(command))
	if disable, ok := command.(SetDisabled); ok && disable.Endpoint == "stranger" {
		return ErrUnknownEndpoint
	}
	return nil
}

func startServer(t *testing.T, maxConns int) (s *Server, addr string) {
	t.Helper()
	addr, release, err := port.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	if s, err = Open(addr, maxConns, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s, addr
}

// sendInPieces sends text in pieces of pieceSize bytes, or at once if it is shorter, and returns the status and body of the response;
// status 0: no response.
func sendInPieces(t *testing.T, addr, text string, pieceSize int) (status int, body string) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	for sent := 0; sent < len(text); sent += pieceSize {
		if _, err := io.WriteString(conn, text[sent:min(len(text), sent+pieceSize)]); err != nil {
			break // the server has already responded and closed the connection
		}
		if pieceSize < len(text) {
			time.Sleep(time.Millisecond)
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	content, _ := io.ReadAll(response.Body)
	if !response.Close {
		t.Errorf("%.40q: the response does not close the connection", text)
	}
	return response.StatusCode, string(content)
}

func request(method, path string) string { return method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func TestRequests(t *testing.T) {
	s, addr := startServer(t, 8)
	for _, path := range []string{"/status", "/status/metrics"} {
		if status, _ := sendInPieces(t, addr, request("GET", path), 999); status != 503 {
			t.Errorf("%s before SetCourier: got status %d, want 503", path, status)
		}
	}
	courier := &fakeCourier{serving: true}
	s.SetCourier(courier)
	longText := strings.Repeat("x", 2*maxHeaderBytes)
	for text, want := range map[string]int{
		request("GET", "/status"):                                                           200,
		request("GET", "/status/metrics"):                                                   200,
		request("POST", "/maintenance/enter/s-1"):                                           200,
		request("POST", "/maintenance/exit/s%2D1"):                                          200,
		request("POST", "/standby"):                                                         200,
		request("POST", "/active"):                                                          200,
		request("POST", "/maintenance/exit/stranger"):                                       404,
		request("POST", "/maintenance/enter/"):                                              404,
		request("POST", "/maintenance/enter/a/b"):                                           404,
		request("POST", "/maintenance//enter/a"):                                            404,
		request("GET", "/"):                                                                 404,
		request("GET", "/nothing"):                                                          404,
		request("GET", "/standby"):                                                          405,
		request("POST", "/status"):                                                          405,
		request("DELETE", "/maintenance/enter/s-1"):                                         405,
		"POST /standby HTTP/1.1\r\nHost: x\r\nContent-Length: 9999\r\n\r\n" + longText:      413,
		"POST /standby HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n": 413,
		"GET /status HTTP/1.1\r\nHost: x\r\nLong: " + longText + "\r\n\r\n":                 431,
		"NONSENSE\r\n\r\n":                                                                  400,
	} {
		for _, pieceSize := range []int{1 << 20, 7} {
			if status, body := sendInPieces(t, addr, text, pieceSize); status != want {
				t.Errorf("%.60q in pieces of %d bytes: got status %d %.60q, want %d", text, pieceSize, status, body, want)
			}
		}
	}
	counts := map[string]int{}
	for _, command := range courier.commands {
		counts[command]++
	}
	for command, n := range map[string]int{"{s-1 true}": 2, "{s-1 false}": 2, "{true}": 2, "{false}": 2} {
		if counts[command] != n {
			t.Errorf("wrong number of executions of command %s: %d of %v", command, counts[command], counts)
		}
	}
	_, body := sendInPieces(t, addr, request("GET", "/status/metrics"), 999)
	var metrics Metrics
	if err := json.Unmarshal([]byte(body), &metrics); err != nil || metrics.Success["update"] != 3 || metrics.Dispatches != 5 || metrics.TargetsDisabled != 1 {
		t.Errorf("%v: %s", err, body)
	}
	courier.serving, courier.blocked = false, true
	if status, _ := sendInPieces(t, addr, request("GET", "/status"), 999); status != 503 {
		t.Errorf("/status of a courier that accepts no clients: got %d, want 503", status)
	}
	// Guards against an admin request without a timely response: Execute blocks until its context ends, as it does while the
	// event loop is blocked.
	if status, _ := sendInPieces(t, addr, request("POST", "/standby"), 999); status != 503 {
		t.Errorf("command while Execute blocks: got status %d, want 503", status)
	}
}

// TestIncompleteRequestsDoNotBlockOthers guards against exhausted connections: clients that kept connections open
// without sending a complete request used up the limit, and further requests were not served.
func TestIncompleteRequestsDoNotBlockOthers(t *testing.T) {
	s, addr := startServer(t, 4)
	s.SetCourier(&fakeCourier{serving: true})
	var conns []net.Conn
	for i := range 40 {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if i%2 == 0 {
			io.WriteString(conn, "GET /sta")
		}
		conns = append(conns, conn)
		if i%5 == 4 {
			if status, _ := sendInPieces(t, addr, request("GET", "/status"), 5); status != 200 {
				t.Fatalf("with %d connections without a complete request: got status %d, want 200", i+1, status)
			}
		}
	}
	conns[0].SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := conns[0].Read(make([]byte, 1)); err == nil {
		t.Error("the first incomplete request got a response")
	} else if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
		t.Error("the first connection with an incomplete request is still open")
	}
}
