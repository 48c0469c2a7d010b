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
	packetQueueSize  = 256     // received packets waiting for the detector; further ones are dropped
	packetBufferSize = 2 << 10 // bytes; the detector's packets are under 1,400 bytes
	maxStreams       = 16      // concurrent inbound streams
	maxStreamBytes   = 4 << 20 // bytes read from one stream; the state of several thousand members is under 1 MB
	streamTimeout    = 30 * time.Second
)

// Counts are the network counters of a Member. Streams counts inbound and outbound streams. Rejected counts empty packets, packets
// longer than packetBufferSize, packets and streams above the queue and stream limits, and reads beyond maxStreamBytes.
type Counts struct {
	PacketsIn  int64 `json:"PacketsIn"`
	PacketsOut int64 `json:"PacketsOut"`
	BytesIn    int64 `json:"BytesIn"`
	BytesOut   int64 `json:"BytesOut"`
	Streams    int64 `json:"Streams"`
	Rejected   int64 `json:"Turned"`
}

// counters are the live counters behind Counts.
type counters struct{ packetsIn, packetsOut, bytesIn, bytesOut, streams, rejected atomic.Int64 }

func (c *counters) load() Counts {
	return Counts{c.packetsIn.Load(), c.packetsOut.Load(), c.bytesIn.Load(), c.bytesOut.Load(), c.streams.Load(), c.rejected.Load()}
}

// socketTransport is a memberlist.Transport over UDP and TCP. dialAddresses replaces the addresses of other members when they are
// dialed, for example to reach them through NAT.
type socketTransport struct {
	udp           *net.UDPConn
	tcp           net.Listener
	advertise     *net.TCPAddr
	dialAddresses map[string]string
	packets       chan *memberlist.Packet
	streams       chan net.Conn
	openStreams   atomic.Int32
	counters      counters
	closeOnce     sync.Once
	done          chan struct{}
	wg            sync.WaitGroup
}

func listen(addr, advertise string, through map[string]string) (*socketTransport, error) {
	if advertise == "" {
		advertise = addr
	}
	advertiseAddr, err := net.ResolveTCPAddr("tcp", advertise)
	if err != nil {
		return nil, err
	}
	if advertiseAddr.IP == nil || advertiseAddr.IP.IsUnspecified() || advertiseAddr.Port == 0 {
		return nil, fmt.Errorf("%s: expected an address that other couriers can reach, with IP and port", advertise)
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
	t := &socketTransport{udp: udp, tcp: l, advertise: advertiseAddr, dialAddresses: through, packets: make(chan *memberlist.Packet, packetQueueSize),
		streams: make(chan net.Conn), done: make(chan struct{})}
	t.wg.Add(2)
	go t.receive()
	go t.accept()
	return t, nil
}

func (t *socketTransport) receive() {
	defer t.wg.Done()
	for {
		buf := make([]byte, packetBufferSize)
		n, from, err := t.udp.ReadFrom(buf)
		if err != nil {
			select {
			case <-t.done:
				return
			case <-time.After(10 * time.Millisecond): // a temporary error, for example ICMP port unreachable
				continue
			}
		}
		if n == 0 || n == len(buf) { // empty or truncated: not a packet of the detector
			t.counters.rejected.Add(1)
			continue
		}
		t.counters.packetsIn.Add(1)
		t.counters.bytesIn.Add(int64(n))
		select {
		case t.packets <- &memberlist.Packet{Buf: buf[:n], From: from, Timestamp: clock.Instant()}:
		default:
			t.counters.rejected.Add(1)
		}
	}
}

func (t *socketTransport) accept() {
	defer t.wg.Done()
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
		if t.openStreams.Add(1) > maxStreams {
			t.openStreams.Add(-1)
			t.counters.rejected.Add(1)
			conn.Close()
			continue
		}
		select {
		case t.streams <- t.limitStream(conn, func() { t.openStreams.Add(-1) }):
		case <-t.done:
			conn.Close()
		}
	}
}

// limitStream wraps a connection so that at most maxStreamBytes can be read, and all reads and writes fail after streamTimeout.
func (t *socketTransport) limitStream(conn net.Conn, onClose func()) net.Conn {
	t.counters.streams.Add(1)
	stream := &limitedStream{Conn: conn, remaining: maxStreamBytes, counters: &t.counters, onClose: onClose, deadline: clock.Instant().Add(streamTimeout)}
	conn.SetDeadline(stream.deadline)
	return stream
}

type limitedStream struct {
	net.Conn
	remaining int64 // bytes that may still be read
	counters  *counters
	onClose   func()
	deadline  time.Time
	closeOnce sync.Once
}

func (s *limitedStream) Read(p []byte) (int, error) {
	if s.remaining <= 0 {
		s.counters.rejected.Add(1)
		return 0, io.ErrUnexpectedEOF
	}
	n, err := s.Conn.Read(p[:min(int64(len(p)), s.remaining)])
	s.remaining -= int64(n)
	s.counters.bytesIn.Add(int64(n))
	return n, err
}

func (s *limitedStream) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	s.counters.bytesOut.Add(int64(n))
	return n, err
}

func (s *limitedStream) SetDeadline(at time.Time) error {
	if at.IsZero() || at.After(s.deadline) {
		at = s.deadline
	}
	return s.Conn.SetDeadline(at)
}

func (s *limitedStream) Close() error {
	s.closeOnce.Do(s.onClose)
	return s.Conn.Close()
}

func (t *socketTransport) dialAddress(addr string) string {
	if to, ok := t.dialAddresses[addr]; ok {
		return to
	}
	return addr
}

func (t *socketTransport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.advertise.IP, t.advertise.Port, nil
}

func (t *socketTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := net.ResolveUDPAddr("udp", t.dialAddress(addr))
	if err != nil {
		return time.Time{}, err
	}
	n, err := t.udp.WriteTo(b, to)
	t.counters.packetsOut.Add(1)
	t.counters.bytesOut.Add(int64(n))
	return clock.Instant(), err
}

func (t *socketTransport) PacketCh() <-chan *memberlist.Packet { return t.packets }

func (t *socketTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", t.dialAddress(addr), timeout)
	if err != nil {
		return nil, err
	}
	return t.limitStream(conn, func() {}), nil
}

func (t *socketTransport) StreamCh() <-chan net.Conn { return t.streams }

func (t *socketTransport) Shutdown() error {
	t.closeOnce.Do(func() {
		close(t.done)
		t.tcp.Close()
		t.udp.Close()
	})
	t.wg.Wait()
	return nil
}

// ParseDialAddresses parses arguments of the form address=address into a map: the keys are the announced addresses of members, the values the
// addresses to dial instead, see Options.DialAddresses.
func ParseDialAddresses(arguments []string) (map[string]string, error) {
	pairs := map[string]string{}
	for _, argument := range arguments {
		from, to, _ := strings.Cut(argument, "=")
		for _, address := range []string{from, to} {
			if _, port, err := net.SplitHostPort(address); err != nil {
				return nil, fmt.Errorf("%q: expected address=address", argument)
			} else if _, err := strconv.ParseUint(port, 10, 16); err != nil {
				return nil, fmt.Errorf("%q: expected address=address", argument)
			}
		}
		pairs[from] = to
	}
	return pairs, nil
}
