package netfault

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Net is the network between processes on loopback.
type Net struct {
	*board
	mu    sync.Mutex
	real  []string
	via   [][]*way
	done  chan struct{}
	group sync.WaitGroup
}

// way is the address that leads from one process to another.
type way struct {
	net      *Net
	from, to int
	tcp      *net.TCPListener
	udp      *net.UDPConn
}

// Open makes the ways between processes that listen at the addresses given. The trace has a line for each change and each
// fault that faults; nil for none.
func Open(seed int64, real []string, trace io.Writer) (*Net, error) {
	n := &Net{board: newBoard(len(real), seed, trace), real: append([]string(nil), real...), done: make(chan struct{})}
	for from := range real {
		var row []*way
		for to := range real {
			if from == to {
				row = append(row, nil)
				continue
			}
			w, err := n.open(from, to)
			if err != nil {
				n.Close()
				return nil, err
			}
			row = append(row, w)
		}
		n.via = append(n.via, row)
	}
	return n, nil
}

// open takes an address of its own for each process that sends, so that none can be somebody's outgoing port.
func (n *Net) open(from, to int) (*way, error) {
	ip := net.IPv4(127, byte(200+(os.Getpid()>>8)%50), byte(os.Getpid()), byte(1+from%250))
	for range 20 {
		l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip})
		if err != nil {
			return nil, err
		}
		u, err := net.ListenUDP("udp", &net.UDPAddr{IP: ip, Port: l.Addr().(*net.TCPAddr).Port})
		if err != nil {
			l.Close()
			continue
		}
		w := &way{net: n, from: from, to: to, tcp: l, udp: u}
		n.group.Add(2)
		go w.packets()
		go w.streams()
		return w, nil
	}
	return nil, fmt.Errorf("no address free for both UDP and TCP")
}

// Via is where one process reaches another.
func (n *Net) Via(from, to int) string { return n.via[from][to].tcp.Addr().String() }

// Through are the pairs of addresses that lead a process to all others.
func (n *Net) Through(from int) (pairs []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for to, real := range n.real {
		if to != from {
			pairs = append(pairs, real+"="+n.Via(from, to))
		}
	}
	return pairs
}

// Moved says that a process listens elsewhere now.
func (n *Net) Moved(to int, real string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.real[to] = real
}

func (n *Net) at(i int) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.real[i]
}

// Close ends all ways.
func (n *Net) Close() {
	close(n.done)
	for _, row := range n.via {
		for _, w := range row {
			if w != nil {
				w.tcp.Close()
				w.udp.Close()
			}
		}
	}
	n.group.Wait()
}

func (w *way) packets() {
	defer w.net.group.Done()
	buf := make([]byte, 64<<10)
	for {
		size, _, err := w.udp.ReadFrom(buf)
		if err != nil {
			select {
			case <-w.net.done:
				return
			case <-time.After(time.Millisecond): // such as word that nobody listens there
				continue
			}
		}
		to, err := net.ResolveUDPAddr("udp", w.net.at(w.to))
		if err != nil {
			continue
		}
		text := append([]byte(nil), buf[:size]...)
		for _, after := range w.net.packet(w.from, w.to, size) {
			if after == 0 {
				w.udp.WriteTo(text, to)
			} else {
				time.AfterFunc(after, func() { w.udp.WriteTo(text, to) })
			}
		}
	}
}

func (w *way) streams() {
	defer w.net.group.Done()
	for {
		near, err := w.tcp.Accept()
		if err != nil {
			select {
			case <-w.net.done:
				return
			case <-time.After(time.Millisecond):
				continue
			}
		}
		w.net.group.Add(1)
		go w.lead(near.(*net.TCPConn))
	}
}

// lead carries a stream, both ways, each under its own conditions.
func (w *way) lead(near *net.TCPConn) {
	n := w.net
	defer n.group.Done()
	defer near.Close()
	there, _ := n.get(w.from, w.to)
	back, _ := n.get(w.to, w.from)
	if there.Cut && back.Cut {
		n.hit(w.from, w.to, Severed, 0)
		near.SetLinger(0)
		return
	}
	far, err := net.DialTimeout("tcp", n.at(w.to), 2*time.Second)
	if err != nil {
		near.SetLinger(0)
		return
	}
	defer far.Close()
	ended := make(chan struct{})
	var sides sync.WaitGroup
	sides.Add(2)
	carry := func(from, to int, in, out net.Conn) {
		defer sides.Done()
		n.carry(from, to, in, out)
	}
	go carry(w.from, w.to, near, far)
	go carry(w.to, w.from, far, near)
	go func() {
		select {
		case <-n.done: // nothing that is read or written must hold up the end
			near.Close()
			far.Close()
		case <-ended:
		}
	}()
	sides.Wait()
	close(ended)
}

// carry takes bytes one way until they end. What is cut one way is silent, as its sender hears nothing of it.
func (n *Net) carry(from, to int, in, out net.Conn) {
	buf := make([]byte, 16<<10)
	passed := 0
	for {
		size, err := in.Read(buf)
		if size > 0 {
			if !n.awaitOpen(from, to, size) || !n.delay(from, to, size) {
				in.Close()
				out.Close()
				return
			}
			if link, _ := n.get(from, to); link.Tear > 0 && passed+size > link.Tear {
				n.hit(from, to, Torn, size)
				out.Write(buf[:max(0, min(size-1, link.Tear-passed))])
				in.Close()
				out.Close()
				return
			}
			if _, err := out.Write(buf[:size]); err != nil {
				in.Close()
				return
			}
			passed += size
		}
		if err != nil {
			if half, ok := out.(*net.TCPConn); ok {
				half.CloseWrite()
			}
			return
		}
	}
}

// awaitOpen waits until a link that is cut one way, or silent, carries bytes again. It is false where both ways are cut, after 30 s, as
// whoever waits so long has gone, and at the end of the net.
func (n *Net) awaitOpen(from, to, size int) bool {
	for {
		link, change := n.get(from, to)
		back, _ := n.get(to, from)
		if link.Cut && back.Cut {
			n.hit(from, to, Severed, size)
			return false
		}
		if !link.Cut && !link.Silent {
			return true
		}
		n.hit(from, to, map[bool]string{true: Severed, false: Silenced}[link.Cut], size)
		select {
		case <-change:
		case <-n.done:
			return false
		case <-time.After(30 * time.Second):
			return false
		}
	}
}

// delay waits as long as a link takes for so many bytes. It is false at the end of the net.
func (n *Net) delay(from, to, size int) bool {
	link, _ := n.get(from, to)
	if link.Delay <= 0 && link.Rate <= 0 {
		return true
	}
	wait := link.Delay
	if link.Rate != 0 {
		wait += time.Duration(float64(size) / max(link.Rate, 1e-9) * float64(time.Second))
	}
	n.hit(from, to, map[bool]string{true: Throttled, false: Delayed}[link.Rate > 0], size)
	select {
	case <-time.After(wait):
		return true
	case <-n.done:
		return false
	}
}
