package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pineport/testbed/scripted"
)

// clientPatience is how long a client of the platform waits for a reply.
const clientPatience = 400 * time.Millisecond

// peakMemory returns the peak resident memory of a process, in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	t.Fatal("no VmHWM")
	return 0
}

// patientClients are clients that hand in a message each interval, and count the replies that came too late. Every second client connects
// anew for each message, the others keep their connection.
type patientClients struct {
	address   string
	stopped   chan struct{}
	done      sync.WaitGroup
	mu        sync.Mutex
	submitted int
	late      int
	slowest   time.Duration
}

func startPatientClients(address string, clients int) *patientClients {
	p := &patientClients{address: address, stopped: make(chan struct{})}
	for i := range clients {
		p.done.Go(func() { p.run(i) })
	}
	return p
}

func (p *patientClients) run(number int) {
	var conn net.Conn
	for n := 0; ; n++ {
		select {
		case <-p.stopped:
			return
		case <-time.After(100 * time.Millisecond):
		}
		began := time.Now()
		answered := p.submit(&conn, fmt.Sprintf("patient-%d-%d", number, n))
		took := time.Since(began)
		if connectsAnew := number%2 == 1; connectsAnew && conn != nil {
			conn.Close()
			conn = nil
		}
		p.mu.Lock()
		p.submitted++
		p.slowest = max(p.slowest, took)
		if !answered {
			p.late++
		}
		p.mu.Unlock()
	}
}

// submit reports whether the reply came in time. It opens the connection if there is none, and closes it if not.
func (p *patientClients) submit(conn *net.Conn, id string) bool {
	deadline := time.Now().Add(clientPatience)
	if *conn == nil {
		var err error
		if *conn, err = net.DialTimeout("tcp", p.address, clientPatience); err != nil {
			*conn = nil
			return false
		}
	}
	(*conn).SetDeadline(deadline)
	io.WriteString(*conn, encodeEnqueue(id, "update", 8000))
	if _, err := bufio.NewReader(*conn).ReadString('\n'); err != nil {
		(*conn).Close()
		*conn = nil
		return false
	}
	return true
}

func (p *patientClients) stop() {
	close(p.stopped)
	p.done.Wait()
}

// sendWithoutEnd writes text that next returns without end over one connection at a time, and reads all replies.
func sendWithoutEnd(address string, stopping <-chan struct{}, next func() string) {
	for {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return
		}
		go io.Copy(io.Discard, conn)
		for err == nil {
			select {
			case <-stopping:
				conn.Close()
				return
			default:
			}
			conn.SetWriteDeadline(time.Now().Add(time.Second))
			_, err = io.WriteString(conn, next())
		}
		conn.Close()
	}
}

// sendAndGo writes a text over one connection after another, and closes each without reading a reply.
func sendAndGo(address string, stopping <-chan struct{}, text string) {
	for {
		select {
		case <-stopping:
			return
		case <-time.After(20 * time.Millisecond):
		}
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(time.Second))
		io.WriteString(conn, text)
		conn.Close()
	}
}

// sendAndHalfClose writes a text over one connection after another, ends the sending of each, and reads all replies.
func sendAndHalfClose(address string, stopping <-chan struct{}, text string) {
	for {
		select {
		case <-stopping:
			return
		case <-time.After(20 * time.Millisecond):
		}
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(2 * time.Second))
		go func() {
			io.WriteString(conn, text)
			conn.(*net.TCPConn).CloseWrite()
		}()
		io.Copy(io.Discard, conn)
		conn.Close()
	}
}

// repeatText returns a function that returns always the same text of about 16 kB.
func repeatText(command string) func() string {
	text := strings.Repeat(command, 16<<10/len(command)+1)
	return func() string { return text }
}

// newNames returns a function that returns requests with names that did not come before.
func newNames(request func(number int) string) func() string {
	number := 0
	return func() string {
		var text strings.Builder
		for range 100 {
			number++
			text.WriteString(request(number))
		}
		return text.String()
	}
}

// TestOthersAreAnsweredBesideFlood guards against one client that sends at full speed and keeps all others from their answers, or makes
// memory grow.
func TestOthersAreAnsweredBesideFlood(t *testing.T) {
	const clients, span, memoryMB = 15, 5 * time.Second, 48
	enqueue := func(id, fields string) string { return encodeCommand("ENQUEUE", "0", id, fields, "x") }
	muchAtOnce := strings.Repeat(encodeCommand("PING"), 50_000)
	floods := []struct {
		name string
		next func() string // nil: much at once from a client that goes then, one after another
	}{
		{"much at once", nil},
		{"pings", repeatText(encodeCommand("PING"))},
		{"unknown commands", newNames(func(n int) string { return encodeCommand(fmt.Sprint("C", n)) })},
		{"unknown classes", newNames(func(n int) string { return enqueue(fmt.Sprint("f", n), fmt.Sprintf("c=c%d,d=8000,dest=1", n)) })},
		{"unknown destinations", newNames(func(n int) string { return enqueue(fmt.Sprint("f", n), fmt.Sprintf("c=update,d=8000,dest=%d", n+9)) })},
		{"new tenants", newNames(func(n int) string { return enqueue(fmt.Sprint("f", n), fmt.Sprintf("c=nobody,t=t%d,d=8000,dest=1", n)) })},
		{"bad framing", repeatText("x")},
		{"valid messages", newNames(func(n int) string {
			return enqueue(fmt.Sprint("f", n), fmt.Sprintf("c=update,t=t%d,about=k%d,d=8000,dest=1", n, n))
		})},
	}
	for _, tc := range floods {
		t.Run(tc.name, func(t *testing.T) {
			world, err := scripted.Open(1, func(string) scripted.Response { return scripted.Response{Status: 200} })
			if err != nil {
				t.Fatal(err)
			}
			defer world.Close()
			c := newCourier(t, world)
			c.replaceInConfig(`"memory_mb": 192`, fmt.Sprintf(`"memory_mb": %d`, memoryMB))
			c.start()
			others := startPatientClients(c.listen, clients)
			time.Sleep(300 * time.Millisecond)
			stopping := make(chan struct{})
			var flooding sync.WaitGroup
			flooding.Go(func() {
				if tc.next == nil {
					sendAndGo(c.listen, stopping, muchAtOnce)
				} else {
					sendWithoutEnd(c.listen, stopping, tc.next)
				}
			})
			time.Sleep(span)
			others.stop()
			close(stopping)
			flooding.Wait()
			peak := peakMemory(t, c.cmd.Process.Pid)
			t.Logf("%d of %d requests without an answer in %v, the slowest took %v; peak memory %.1f MB", others.late, others.submitted, clientPatience,
				others.slowest.Round(time.Millisecond), float64(peak)/(1<<20))
			if others.late > 0 || others.submitted < clients*10 {
				t.Errorf("%d of %d requests without an answer in %v", others.late, others.submitted, clientPatience)
			}
			if peak > memoryMB<<20 {
				t.Errorf("peak memory %.1f MB, limit %d MB", float64(peak)/(1<<20), memoryMB)
			}
		})
	}
}

// TestOthersAreAnsweredBesideEndlessAnswers guards against endpoints whose answers never end and that keep clients from their replies.
func TestOthersAreAnsweredBesideEndlessAnswers(t *testing.T) {
	const clients, span, endlessCalls, memoryMB = 15, 5 * time.Second, 100, 48
	world, err := scripted.Open(3, func(id string) scripted.Response {
		return scripted.Response{Status: 200, Endless: strings.HasPrefix(id, "endless")}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
	c := newCourier(t, world)
	c.replaceInConfig(`"memory_mb": 192`, fmt.Sprintf(`"memory_mb": %d`, memoryMB))
	c.start()
	var commands []string
	for n := range endlessCalls {
		commands = append(commands, encodeEnqueue(fmt.Sprint("endless-", n), "update", 8000))
	}
	c.send(commands...)
	others := startPatientClients(c.listen, clients)
	time.Sleep(span)
	others.stop()
	endless := 0
	for n := range endlessCalls {
		started, _, _ := world.MessageCalls(fmt.Sprint("endless-", n))
		endless += started
	}
	peak := peakMemory(t, c.cmd.Process.Pid)
	t.Logf("beside %d endless answers, %d of %d requests without an answer in %v, the slowest took %v; peak memory %.1f MB", endless, others.late, others.submitted,
		clientPatience, others.slowest.Round(time.Millisecond), float64(peak)/(1<<20))
	if others.late > 0 || others.submitted < clients*10 || endless == 0 {
		t.Errorf("%d of %d requests without an answer in %v", others.late, others.submitted, clientPatience)
	}
	if peak > memoryMB<<20 {
		t.Errorf("peak memory %.1f MB, limit %d MB", float64(peak)/(1<<20), memoryMB)
	}
}
