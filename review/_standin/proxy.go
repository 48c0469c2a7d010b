package main

import (
	"net"
	"sync"
	"time"
)

// proxy passes connections on to another address, each byte after a delay. It can let its open connections fall silent: they stay open,
// and nothing passes on them any more.
type proxy struct {
	record  *record
	address string
	to      string
	delay   time.Duration

	mu    sync.Mutex
	open  map[net.Conn]bool // connections of the courier
	quiet map[net.Conn]bool // those that have fallen silent
}

func openProxy(r *record, address, to string, delay time.Duration) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{record: r, address: listener.Addr().String(), to: to, delay: delay, open: map[net.Conn]bool{}, quiet: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

// silence lets all open connections fall silent, and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		p.quiet[conn] = true
	}
	return len(p.open)
}

func (p *proxy) serve(conn net.Conn) {
	other, err := net.Dial("tcp", p.to)
	if err != nil {
		conn.Close()
		return
	}
	p.mu.Lock()
	p.open[conn] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(conn, conn, other) })
	both.Go(func() { p.pass(conn, other, conn) })
	both.Wait()
	p.mu.Lock()
	delete(p.open, conn)
	delete(p.quiet, conn)
	p.mu.Unlock()
}

// pass passes on what comes from one side to the other side, until one of them closes.
func (p *proxy) pass(conn, from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		time.Sleep(p.delay)
		p.mu.Lock()
		quiet := p.quiet[conn]
		p.mu.Unlock()
		if quiet {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
