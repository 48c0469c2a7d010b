package main

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"pineport/testbed/scripted"
)

// countPongs sends PINGs without waiting for replies, ends its sending, and returns the number of replies.
func countPongs(address string, pings int) (pongs int, err error) {
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Minute))
	go func() {
		io.WriteString(conn, strings.Repeat(encodeCommand("PING"), pings))
		conn.(*net.TCPConn).CloseWrite()
	}()
	for replies := bufio.NewReader(conn); ; {
		line, err := replies.ReadString('\n')
		switch {
		case err == io.EOF && line == "":
			return pongs, nil
		case err != nil:
			return pongs, err
		case line == "+PONG\r\n":
			pongs++
		}
	}
}

// TestHalfClosedClientsGetAllReplies guards against replies that are lost, or a reset, where clients send much at once and end their sending.
func TestHalfClosedClientsGetAllReplies(t *testing.T) {
	world, err := scripted.Open(1, func(string) scripted.Response { return scripted.Response{Status: 200} })
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
	c := newCourier(t, world)
	c.start()
	var clients sync.WaitGroup
	for number := range 30 {
		pings := []int{5_000, 50_000, 150_000}[number%3]
		clients.Go(func() {
			if pongs, err := countPongs(c.listen, pings); pongs != pings || err != nil {
				t.Errorf("client %d got %d of %d replies, %v", number, pongs, pings, err)
			}
		})
	}
	clients.Wait()
}
