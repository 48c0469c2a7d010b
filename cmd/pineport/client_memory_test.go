package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pineport/testbed/scripted"
)

// crowd is a number of clients that connect, behave in the same way until their connection ends, and connect anew until they are stopped.
type crowd struct {
	address string
	behave  func(conn net.Conn, stopping <-chan struct{})
	stopped chan struct{}
	done    sync.WaitGroup
	opened  atomic.Int64 // connections
}

func startCrowd(address string, clients int, behave func(conn net.Conn, stopping <-chan struct{})) *crowd {
	c := &crowd{address: address, behave: behave, stopped: make(chan struct{})}
	for range clients {
		c.done.Go(c.runClient)
	}
	return c
}

func (c *crowd) runClient() {
	for {
		select {
		case <-c.stopped:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.opened.Add(1)
		c.behave(conn, c.stopped)
		conn.Close()
	}
}

func (c *crowd) stop() {
	close(c.stopped)
	c.done.Wait()
}

// awaitEnd waits until the courier ends the connection or the crowd is stopped. It reads nothing but the end.
func awaitEnd(conn net.Conn, stopping <-chan struct{}) {
	for {
		select {
		case <-stopping:
			return
		case <-time.After(100 * time.Millisecond):
		}
		conn.SetWriteDeadline(time.Now().Add(time.Millisecond))
		if _, err := conn.Write(nil); err != nil {
			return
		}
		if ended(conn) {
			return
		}
	}
}

// ended reports whether the other side has closed a connection.
func ended(conn net.Conn) bool {
	conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := io.Copy(io.Discard, conn)
	return err == nil || !os.IsTimeout(err)
}

// largeEnqueue returns the head of a request with the largest body, and the body without its end.
func largeEnqueue(id string) (head, body string) {
	const size = 64 << 10
	request := encodeCommand("ENQUEUE", "0", id, "c=update,d=8000,dest=1", strings.Repeat("b", size))
	return request[:len(request)-size-2], request[len(request)-size-2 : len(request)-100]
}

func sendHalted(conn net.Conn, stopping <-chan struct{}) {
	head, body := largeEnqueue("halted")
	conn.SetWriteDeadline(time.Now().Add(time.Second))
	io.WriteString(conn, head+body)
	awaitEnd(conn, stopping)
}

func sendSlowly(conn net.Conn, stopping <-chan struct{}) {
	head, body := largeEnqueue("slow")
	for text := head + body; len(text) > 0; text = text[min(len(text), 1500):] {
		select {
		case <-stopping:
			return
		case <-time.After(40 * time.Millisecond):
		}
		conn.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := io.WriteString(conn, text[:min(len(text), 1500)]); err != nil {
			return
		}
	}
	awaitEnd(conn, stopping)
}

// sendManyFields sends requests of very many short fields, and commands of very many short arguments, and halts within one.
func sendManyFields(conn net.Conn, stopping <-chan struct{}) {
	fields := strings.Repeat("a=,", 1330)
	request := encodeCommand("ENQUEUE", "0", "fields", fields, "x")
	arguments := "*16\r\n" + strings.Repeat("$1\r\na\r\n", 16)
	text := strings.Repeat(request, 4) + strings.Repeat(arguments, 500) + request[:len(request)-100]
	conn.SetWriteDeadline(time.Now().Add(time.Second))
	io.WriteString(conn, text)
	awaitEnd(conn, stopping)
}

// sendWithoutReading sends commands without end and reads no reply.
func sendWithoutReading(conn net.Conn, stopping <-chan struct{}) {
	conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	commands := strings.Repeat(encodeCommand("a"), 200)
	for {
		select {
		case <-stopping:
			return
		default:
		}
		conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		if _, err := io.WriteString(conn, commands); err != nil && !os.IsTimeout(err) {
			return
		}
	}
}

// halfCloseWithoutReading sends many commands, ends its sending and reads no reply.
func halfCloseWithoutReading(conn net.Conn, stopping <-chan struct{}) {
	conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	conn.SetWriteDeadline(time.Now().Add(time.Second))
	io.WriteString(conn, strings.Repeat(encodeCommand("a"), 5000))
	conn.(*net.TCPConn).CloseWrite()
	select {
	case <-stopping:
	case <-time.After(3 * time.Second):
	}
}

// handInLarge hands in messages with large bodies and reads the replies.
func handInLarge(conn net.Conn, stopping <-chan struct{}) {
	in := bufio.NewReader(conn)
	for n := 0; ; n++ {
		select {
		case <-stopping:
			return
		case <-time.After(50 * time.Millisecond):
		}
		id := fmt.Sprintf("large-%s-%d", strings.ReplaceAll(conn.LocalAddr().String(), ".", "-"), n)
		conn.SetDeadline(time.Now().Add(time.Second))
		io.WriteString(conn, encodeCommand("ENQUEUE", "0", id, "c=update,d=8000,dest=1", strings.Repeat("b", 60<<10)))
		if _, err := in.ReadString('\n'); err != nil {
			return
		}
	}
}

// TestMemoryUnderCrowds guards against a process that passes its memory limit, and is killed, because of what many clients make it hold: large
// requests that come slowly or halt, very many short fields, replies that are not read.
func TestMemoryUnderCrowds(t *testing.T) {
	const clients, span = 1600, 30 * time.Second
	behaviours := map[string][]func(net.Conn, <-chan struct{}){
		"halted":      {sendHalted},
		"slow":        {sendSlowly},
		"many fields": {sendManyFields},
		"unread":      {sendWithoutReading},
		"half closed": {halfCloseWithoutReading},
		"together":    {sendHalted, sendSlowly, sendManyFields, sendWithoutReading, handInLarge},
	}
	for name, crowds := range behaviours {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer := scripted.Response{Status: 200, Delay: 300 * time.Millisecond, Body: strings.Repeat("a", 60<<10)}
			world, err := scripted.Open(1, func(string) scripted.Response { return answer })
			if err != nil {
				t.Fatal(err)
			}
			defer world.Close()
			c := newCourier(t, world)
			const memoryMB = 48
			c.replaceInConfig(`"memory_mb": 192`, fmt.Sprintf(`"memory_mb": %d`, memoryMB))
			c.replaceInConfig(`"sockets": 1024`, `"sockets": 4096`)
			c.start()
			idle := peakMemory(t, c.cmd.Process.Pid)
			var running []*crowd
			for _, behave := range crowds {
				running = append(running, startCrowd(c.listen, clients/len(crowds), behave))
			}
			time.Sleep(span)
			opened := int64(0)
			for _, one := range running {
				one.stop()
				opened += one.opened.Load()
			}
			peak := peakMemory(t, c.cmd.Process.Pid)
			t.Logf("peak %.1f MB of %d, %.1f MB before the crowd; %d connections", float64(peak)/1e6, memoryMB, float64(idle)/1e6, opened)
			if peak > memoryMB<<20 {
				t.Errorf("peak memory %.1f MB, limit %d MB", float64(peak)/(1<<20), memoryMB)
			}
		})
	}
}
