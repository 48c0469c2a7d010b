package netfault

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Net is a network of proxies on loopback between processes.
type Net struct {
	*injector
	mu      sync.Mutex
	targets []string
	proxies [][]*linkProxy
	done    chan struct{}
	group   sync.WaitGroup
}

// linkProxy forwards packets and streams from one process to another.
type linkProxy struct {
	net      *Net
	from, to int
	tcp      *net.TCPListener
	udp      *net.UDPConn
}

// Open opens the proxies between processes that listen at the addresses in targets. The trace gets a line for
// each change of conditions and each fault that takes effect; nil: no trace.
func Open(seed int64, targets []string, trace io.Writer) (*Net, error) {
	n := &Net{injector: newInjector(len(targets), seed, trace), targets: append([]string(nil), targets...), done: make(chan struct{})}
	for from := range targets {
		var row []*linkProxy
		for to := range targets {
			if from == to {
				row = append(row, nil)
				continue
			}
			proxy, err := n.openProxy(from, to)
			if err != nil {
				n.Close()
				return nil, err
			}
			row = append(row, proxy)
		}
		n.proxies = append(n.proxies, row)
	}
	return n, nil
}

// openProxy opens a proxy. Its IP address, derived from the process ID and the sending process, is not
// 127.0.0.1, so that its port cannot be in use as the local port of an outgoing connection.
func (n *Net) openProxy(from, to int) (*linkProxy, error) {
	ip := net.IPv4(127, byte(200+(os.Getpid()>>8)%50), byte(os.Getpid()), byte(1+from%250))
	for range 20 {
		listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip})
		if err != nil {
			return nil, err
		}
		udpConn, err := net.ListenUDP("udp", &net.UDPAddr{IP: ip, Port: listener.Addr().(*net.TCPAddr).Port})
		if err != nil {
			listener.Close()
			continue
		}
		proxy := &linkProxy{net: n, from: from, to: to, tcp: listener, udp: udpConn}
		n.group.Add(2)
		go proxy.forwardPackets()
		go proxy.acceptStreams()
		return proxy, nil
	}
	return nil, fmt.Errorf("no free port for both UDP and TCP")
}

// ProxyAddr returns the address at which one process reaches another.
func (n *Net) ProxyAddr(from, to int) string { return n.proxies[from][to].tcp.Addr().String() }

// AddressPairs returns the mapping "target=proxy" from the address of each other process to the proxy address
// at which a process reaches it.
func (n *Net) AddressPairs(from int) (pairs []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for to, target := range n.targets {
		if to != from {
			pairs = append(pairs, target+"="+n.ProxyAddr(from, to))
		}
	}
	return pairs
}

// SetTarget changes the address at which a process listens.
func (n *Net) SetTarget(to int, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.targets[to] = address
}

func (n *Net) target(i int) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.targets[i]
}

// Close closes all proxies.
func (n *Net) Close() {
	close(n.done)
	for _, row := range n.proxies {
		for _, proxy := range row {
			if proxy != nil {
				proxy.tcp.Close()
				proxy.udp.Close()
			}
		}
	}
	n.group.Wait()
}

func (p *linkProxy) forwardPackets() {
	defer p.net.group.Done()
	buf := make([]byte, 64<<10)
	for {
		size, _, err := p.udp.ReadFrom(buf)
		if err != nil {
			select {
			case <-p.net.done:
				return
			case <-time.After(time.Millisecond): // for example an ICMP error: nobody listens at the target
				continue
			}
		}
		to, err := net.ResolveUDPAddr("udp", p.net.target(p.to))
		if err != nil {
			continue
		}
		payload := append([]byte(nil), buf[:size]...)
		for _, delay := range p.net.packetDelays(p.from, p.to, size) {
			if delay == 0 {
				p.udp.WriteTo(payload, to)
			} else {
				time.AfterFunc(delay, func() { p.udp.WriteTo(payload, to) })
			}
		}
	}
}

func (p *linkProxy) acceptStreams() {
	defer p.net.group.Done()
	for {
		inbound, err := p.tcp.Accept()
		if err != nil {
			select {
			case <-p.net.done:
				return
			case <-time.After(time.Millisecond):
				continue
			}
		}
		p.net.group.Add(1)
		go p.forwardStream(inbound.(*net.TCPConn))
	}
}

// forwardStream forwards a stream in both directions, each under its own conditions.
func (p *linkProxy) forwardStream(inbound *net.TCPConn) {
	n := p.net
	defer n.group.Done()
	defer inbound.Close()
	forward, _ := n.get(p.from, p.to)
	reverse, _ := n.get(p.to, p.from)
	if forward.Cut && reverse.Cut {
		n.record(p.from, p.to, EffectCut, 0)
		inbound.SetLinger(0)
		return
	}
	outbound, err := net.DialTimeout("tcp", n.target(p.to), 2*time.Second)
	if err != nil {
		inbound.SetLinger(0)
		return
	}
	defer outbound.Close()
	finished := make(chan struct{})
	var directions sync.WaitGroup
	directions.Add(2)
	carry := func(from, to int, in, out net.Conn) {
		defer directions.Done()
		n.copyStream(from, to, in, out)
	}
	go carry(p.from, p.to, inbound, outbound)
	go carry(p.to, p.from, outbound, inbound)
	go func() {
		select {
		case <-n.done: // a blocked read or write must not delay Close
			inbound.Close()
			outbound.Close()
		case <-finished:
		}
	}()
	directions.Wait()
	close(finished)
}

// copyStream copies data in one direction until its end. If only this direction is cut, the data stalls,
// since its sender cannot notice the cut.
func (n *Net) copyStream(from, to int, in, out net.Conn) {
	buf := make([]byte, 16<<10)
	forwarded := 0
	for {
		size, err := in.Read(buf)
		if size > 0 {
			if !n.awaitOpen(from, to, size) || !n.waitForLink(from, to, size) {
				in.Close()
				out.Close()
				return
			}
			if link, _ := n.get(from, to); link.BreakAfter > 0 && forwarded+size > link.BreakAfter {
				n.record(from, to, EffectBroken, size)
				out.Write(buf[:max(0, min(size-1, link.BreakAfter-forwarded))])
				in.Close()
				out.Close()
				return
			}
			if _, err := out.Write(buf[:size]); err != nil {
				in.Close()
				return
			}
			forwarded += size
		}
		if err != nil {
			if tcpConn, ok := out.(*net.TCPConn); ok {
				tcpConn.CloseWrite()
			}
			return
		}
	}
}

// awaitOpen waits until a link that is silent, or cut in one direction, carries data again. It returns false
// if both directions are cut, after 30 s (the sender has given up by then), and when the network is closed.
func (n *Net) awaitOpen(from, to, size int) bool {
	for {
		link, change := n.get(from, to)
		reverse, _ := n.get(to, from)
		if link.Cut && reverse.Cut {
			n.record(from, to, EffectCut, size)
			return false
		}
		if !link.Cut && !link.Silent {
			return true
		}
		n.record(from, to, map[bool]string{true: EffectCut, false: EffectSilent}[link.Cut], size)
		select {
		case <-change:
		case <-n.done:
			return false
		case <-time.After(30 * time.Second):
			return false
		}
	}
}

// waitForLink waits for the delay of a link, and for the time that a number of bytes takes at its rate. It
// returns false when the network is closed.
func (n *Net) waitForLink(from, to, size int) bool {
	link, _ := n.get(from, to)
	if link.Delay <= 0 && link.Rate <= 0 {
		return true
	}
	wait := link.Delay
	if link.Rate != 0 {
		wait += time.Duration(float64(size) / max(link.Rate, 1e-9) * float64(time.Second))
	}
	n.record(from, to, map[bool]string{true: EffectThrottled, false: EffectDelayed}[link.Rate > 0], size)
	select {
	case <-time.After(wait):
		return true
	case <-n.done:
		return false
	}
}
