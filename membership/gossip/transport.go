package gossip

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"pineport/clock"
)

const (
	packetQueue = 256     // packets that wait for the detector; further ones are lost, as on any network
	packetSize  = 2 << 10 // the detector's own are under 1,400 bytes
	maxStreams  = 16      // streams from others at once
	streamBytes = 4 << 20 // of one stream: the state of many thousand members is under a megabyte
	streamFor   = 30 * time.Second
)

// Counts is what went over the network, both ways.
type Counts struct {
	PacketsIn  int64 `json:"PacketsIn"`
	PacketsOut int64 `json:"PacketsOut"`
	BytesIn    int64 `json:"BytesIn"`
	BytesOut   int64 `json:"BytesOut"`
	Streams    int64 `json:"Streams"`
	Turned     int64 `json:"Turned"`
}

// counters are Counts as they grow.
type counters struct{ packetsIn, packetsOut, bytesIn, bytesOut, streams, turned atomic.Int64 }

func (c *counters) read() Counts {
	return Counts{c.packetsIn.Load(), c.packetsOut.Load(), c.bytesIn.Load(), c.bytesOut.Load(), c.streams.Load(), c.turned.Load()}
}

// sockets is the detector's way over UDP and TCP. DialAddresses leads addresses elsewhere, as past a translating event loop.
type sockets struct {
	udp       *net.UDPConn
	tcp       net.Listener
	advertise *net.TCPAddr
	through   map[string]string
	packets   chan *memberlist.Packet
	streams   chan net.Conn
	open      atomic.Int32
	counts    counters
	closing   sync.Once
	done      chan struct{}
	group     sync.WaitGroup
}

func listen(addr, advertise string, through map[string]string) (*sockets, error) {
	if advertise == "" {
		advertise = addr
	}
	notified, err := net.ResolveTCPAddr("tcp", advertise)
	if err != nil {
		return nil, err
	}
	if notified.IP == nil || notified.IP.IsUnspecified() || notified.Port == 0 {
		return nil, fmt.Errorf("%s: an address that others can reach was expected", advertise)
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	at := l.Addr().(*net.TCPAddr)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port})
	if err != nil {
		l.Close()
		return nil, err
	}
	t := &sockets{udp: udp, tcp: l, advertise: notified, through: through, packets: make(chan *memberlist.Packet, packetQueue),
		streams: make(chan net.Conn), done: make(chan struct{})}
	t.group.Add(2)
	go t.receive()
	go t.accept()
	return t, nil
}

func (t *sockets) receive() {
	defer t.group.Done()
	for {
		buf := make([]byte, packetSize)
		n, from, err := t.udp.ReadFrom(buf)
		if err != nil {
			select {
			case <-t.done:
				return
			case <-time.After(10 * time.Millisecond): // such as an answer that nobody listens there
				continue
			}
		}
		if n == 0 || n == len(buf) { // cut off: never one of ours
			t.counts.turned.Add(1)
			continue
		}
		t.counts.packetsIn.Add(1)
		t.counts.bytesIn.Add(int64(n))
		select {
		case t.packets <- &memberlist.Packet{Buf: buf[:n], From: from, Timestamp: clock.Instant()}:
		default:
			t.counts.turned.Add(1)
		}
	}
}

func (t *sockets) accept() {
	defer t.group.Done()
	for {
		conn, err := t.tcp.Accept()
		if err != nil {
			select {
			case <-t.done:
				return
			case <-time.After(10 * time.Millisecond):
				continue
			}
		}
		if t.open.Add(1) > maxStreams {
			t.open.Add(-1)
			t.counts.turned.Add(1)
			conn.Close()
			continue
		}
		select {
		case t.streams <- t.bounded(conn, func() { t.open.Add(-1) }):
		case <-t.done:
			conn.Close()
		}
	}
}

// bounded is a stream that ends after so many bytes and so long, whatever the other side sends.
func (t *sockets) bounded(conn net.Conn, after func()) net.Conn {
	t.counts.streams.Add(1)
	b := &stream{Conn: conn, left: streamBytes, counts: &t.counts, after: after, end: clock.Instant().Add(streamFor)}
	conn.SetDeadline(b.end)
	return b
}

type stream struct {
	net.Conn
	left   int64
	counts *counters
	after  func()
	end    time.Time
	once   sync.Once
}

func (s *stream) Read(p []byte) (int, error) {
	if s.left <= 0 {
		s.counts.turned.Add(1)
		return 0, io.ErrUnexpectedEOF
	}
	n, err := s.Conn.Read(p[:min(int64(len(p)), s.left)])
	s.left -= int64(n)
	s.counts.bytesIn.Add(int64(n))
	return n, err
}

func (s *stream) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	s.counts.bytesOut.Add(int64(n))
	return n, err
}

func (s *stream) SetDeadline(at time.Time) error {
	if at.IsZero() || at.After(s.end) {
		at = s.end
	}
	return s.Conn.SetDeadline(at)
}

func (s *stream) Close() error {
	s.once.Do(s.after)
	return s.Conn.Close()
}

func (t *sockets) lead(addr string) string {
	if to, ok := t.through[addr]; ok {
		return to
	}
	return addr
}

func (t *sockets) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.advertise.IP, t.advertise.Port, nil
}

func (t *sockets) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := net.ResolveUDPAddr("udp", t.lead(addr))
	if err != nil {
		return time.Time{}, err
	}
	n, err := t.udp.WriteTo(b, to)
	t.counts.packetsOut.Add(1)
	t.counts.bytesOut.Add(int64(n))
	return clock.Instant(), err
}

func (t *sockets) PacketCh() <-chan *memberlist.Packet { return t.packets }

func (t *sockets) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", t.lead(addr), timeout)
	if err != nil {
		return nil, err
	}
	return t.bounded(conn, func() {}), nil
}

func (t *sockets) StreamCh() <-chan net.Conn { return t.streams }

func (t *sockets) Shutdown() error {
	t.closing.Do(func() {
		close(t.done)
		t.tcp.Close()
		t.udp.Close()
	})
	t.group.Wait()
	return nil
}

// ParseDialAddresses reads address=address words.
func ParseDialAddresses(words []string) (map[string]string, error) {
	pairs := map[string]string{}
	for _, w := range words {
		from, to, _ := strings.Cut(w, "=")
		for _, a := range []string{from, to} {
			if _, port, err := net.SplitHostPort(a); err != nil {
				return nil, fmt.Errorf("%q: address=address was expected", w)
			} else if _, err := strconv.ParseUint(port, 10, 16); err != nil {
				return nil, fmt.Errorf("%q: address=address was expected", w)
			}
		}
		pairs[from] = to
	}
	return pairs, nil
}
