package netfault

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// Mesh is the same network in memory: members' transports, for tests in virtual time. Streams pass or break as a whole.
type Mesh struct {
	*board
	mu    sync.Mutex
	nodes []*MemberTransport
	// RecordPackets has every packet kept, for Replay.
	RecordPackets bool
	kept          []kept
}

type kept struct {
	to   int
	text []byte
	from net.Addr
}

// Replay has every packet that was kept come in once more, as somebody who listened might send it.
func (m *Mesh) Replay() (n int) {
	m.mu.Lock()
	all := m.kept
	m.kept = nil
	m.mu.Unlock()
	for _, k := range all {
		if other, up := m.node(k.to); up {
			select {
			case other.packets <- &memberlist.Packet{Buf: append([]byte(nil), k.text...), From: k.from, Timestamp: time.Now()}:
				n++
			case <-time.After(time.Millisecond):
			}
		}
	}
	return n
}

// MemberTransport is one member's transport.
type MemberTransport struct {
	mesh    *Mesh
	no      int
	packets chan *memberlist.Packet
	streams chan net.Conn
	up      bool
	Sent    int // packets, and bytes of them
	Bytes   int
}

// NewMesh makes a network of so many members.
func NewMesh(n int, seed int64) *Mesh {
	m := &Mesh{board: newBoard(n, seed, nil)}
	for i := range n {
		m.nodes = append(m.nodes, &MemberTransport{mesh: m, no: i})
	}
	return m
}

// Addr is a member's address.
func (m *Mesh) Addr(i int) string { return fmt.Sprintf("10.%d.%d.1:%d", i/250, i%250, 7000) }

func (m *Mesh) who(addr string) (int, bool) {
	host, _, err := net.SplitHostPort(addr)
	ip := net.ParseIP(host).To4()
	if err != nil || ip == nil {
		return 0, false
	}
	i := int(ip[1])*250 + int(ip[2])
	return i, i < len(m.nodes)
}

// Traffic is what all members have sent: packets, and bytes of them.
func (m *Mesh) Traffic() (packets, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.nodes {
		packets, bytes = packets+n.Sent, bytes+n.Bytes
	}
	return packets, bytes
}

// Join puts a member on the network, anew if it was there before.
func (m *Mesh) Join(i int) *MemberTransport {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes[i] = &MemberTransport{mesh: m, no: i, packets: make(chan *memberlist.Packet, 1024), streams: make(chan net.Conn, 64), up: true}
	return m.nodes[i]
}

// Disconnect takes a member off the network without a word.
func (m *Mesh) Disconnect(i int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes[i].up = false
}

func (m *Mesh) node(i int) (*MemberTransport, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.nodes[i]
	return n, n.up
}

// FinalAdvertiseAddr is the member's address.
func (n *MemberTransport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	host, port, err := net.SplitHostPort(n.mesh.Addr(n.no))
	if err != nil {
		return nil, 0, err
	}
	p, err := strconv.Atoi(port)
	return net.ParseIP(host), p, err
}

// WriteTo sends a packet, which may get lost.
func (n *MemberTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	now := time.Now()
	to, ok := n.mesh.who(addr)
	if _, up := n.mesh.node(n.no); !ok || !up {
		return now, nil
	}
	n.mesh.mu.Lock()
	n.Sent++
	n.Bytes += len(b)
	n.mesh.mu.Unlock()
	from := &net.UDPAddr{IP: net.IPv4(10, byte(n.no/250), byte(n.no%250), 1), Port: 7000}
	text := append([]byte(nil), b...)
	if n.mesh.mu.Lock(); n.mesh.RecordPackets {
		n.mesh.kept = append(n.mesh.kept, kept{to, text, from})
	}
	n.mesh.mu.Unlock()
	for _, after := range n.mesh.packet(n.no, to, len(b)) {
		put := func() {
			if other, up := n.mesh.node(to); up {
				select {
				case other.packets <- &memberlist.Packet{Buf: text, From: from, Timestamp: time.Now()}:
				default:
				}
			}
		}
		if after == 0 {
			put()
		} else {
			time.AfterFunc(after, put)
		}
	}
	return now, nil
}

// PacketCh is where packets come in.
func (n *MemberTransport) PacketCh() <-chan *memberlist.Packet { return n.packets }

// DialTimeout begins a stream, where both directions let anything through.
func (n *MemberTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	to, ok := n.mesh.who(addr)
	if !ok {
		return nil, fmt.Errorf("%s: nobody", addr)
	}
	there, _ := n.mesh.get(n.no, to)
	back, _ := n.mesh.get(to, n.no)
	other, up := n.mesh.node(to)
	if _, self := n.mesh.node(n.no); !self || !up {
		return nil, fmt.Errorf("%s: refused", addr)
	}
	if there.Cut || back.Cut || there.Silent || back.Silent {
		n.mesh.hit(n.no, to, Severed, 0)
		time.Sleep(timeout)
		return nil, fmt.Errorf("%s: no answer", addr)
	}
	time.Sleep(there.Delay + back.Delay)
	near, far := net.Pipe()
	select {
	case other.streams <- far:
		return near, nil
	case <-time.After(timeout):
		near.Close()
		return nil, fmt.Errorf("%s: no answer", addr)
	}
}

// StreamCh is where streams come in.
func (n *MemberTransport) StreamCh() <-chan net.Conn { return n.streams }

// Shutdown takes it off the network.
func (n *MemberTransport) Shutdown() error {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	n.up = false
	return nil
}
