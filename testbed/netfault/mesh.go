package netfault

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// Mesh is a network in memory that applies Conditions to memberlist transports, for tests in virtual time.
// Unlike Net it applies them to a stream only when the stream is opened, and ignores Rate and BreakAfter.
type Mesh struct {
	*injector
	mu    sync.Mutex
	nodes []*MemberTransport
	// RecordPackets makes the mesh record every packet for Replay.
	RecordPackets bool
	recorded      []recordedPacket
}

type recordedPacket struct {
	to      int
	payload []byte
	from    net.Addr
}

// Replay delivers every recorded packet once more, as an attacker who recorded the traffic might, and returns
// the number of packets delivered.
func (m *Mesh) Replay() (n int) {
	m.mu.Lock()
	packets := m.recorded
	m.recorded = nil
	m.mu.Unlock()
	for _, packet := range packets {
		if other, up := m.node(packet.to); up {
			select {
			case other.packets <- &memberlist.Packet{Buf: append([]byte(nil), packet.payload...), From: packet.from, Timestamp: time.Now()}:
				n++
			case <-time.After(time.Millisecond):
			}
		}
	}
	return n
}

// MemberTransport is the memberlist transport of one member.
type MemberTransport struct {
	mesh        *Mesh
	index       int
	packets     chan *memberlist.Packet
	streams     chan net.Conn
	up          bool
	PacketsSent int // number of packets, and their total size
	BytesSent   int
}

// NewMesh returns a network for n members.
func NewMesh(n int, seed int64) *Mesh {
	m := &Mesh{injector: newInjector(n, seed, nil)}
	for i := range n {
		m.nodes = append(m.nodes, &MemberTransport{mesh: m, index: i})
	}
	return m
}

// Addr returns the address of a member.
func (m *Mesh) Addr(i int) string { return fmt.Sprintf("10.%d.%d.1:%d", i/250, i%250, 7000) }

func (m *Mesh) indexOf(addr string) (int, bool) {
	host, _, err := net.SplitHostPort(addr)
	ip := net.ParseIP(host).To4()
	if err != nil || ip == nil {
		return 0, false
	}
	i := int(ip[1])*250 + int(ip[2])
	return i, i < len(m.nodes)
}

// Traffic returns the number of packets and bytes that the current transports of all members have sent.
func (m *Mesh) Traffic() (packets, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.nodes {
		packets, bytes = packets+n.PacketsSent, bytes+n.BytesSent
	}
	return packets, bytes
}

// Join connects a member to the network with a new transport, which replaces an earlier one.
func (m *Mesh) Join(i int) *MemberTransport {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes[i] = &MemberTransport{mesh: m, index: i, packets: make(chan *memberlist.Packet, 1024), streams: make(chan net.Conn, 64), up: true}
	return m.nodes[i]
}

// Disconnect disconnects a member from the network; the other members are not told.
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

// FinalAdvertiseAddr returns the member's address.
func (n *MemberTransport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	host, port, err := net.SplitHostPort(n.mesh.Addr(n.index))
	if err != nil {
		return nil, 0, err
	}
	p, err := strconv.Atoi(port)
	return net.ParseIP(host), p, err
}

// WriteTo sends a packet, which the conditions may lose, duplicate or delay.
func (n *MemberTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	now := time.Now()
	to, ok := n.mesh.indexOf(addr)
	if _, up := n.mesh.node(n.index); !ok || !up {
		return now, nil
	}
	n.mesh.mu.Lock()
	n.PacketsSent++
	n.BytesSent += len(b)
	n.mesh.mu.Unlock()
	from := &net.UDPAddr{IP: net.IPv4(10, byte(n.index/250), byte(n.index%250), 1), Port: 7000}
	payload := append([]byte(nil), b...)
	if n.mesh.mu.Lock(); n.mesh.RecordPackets {
		n.mesh.recorded = append(n.mesh.recorded, recordedPacket{to, payload, from})
	}
	n.mesh.mu.Unlock()
	for _, delay := range n.mesh.packetDelays(n.index, to, len(b)) {
		deliver := func() {
			if other, up := n.mesh.node(to); up {
				select {
				case other.packets <- &memberlist.Packet{Buf: payload, From: from, Timestamp: time.Now()}:
				default:
				}
			}
		}
		if delay == 0 {
			deliver()
		} else {
			time.AfterFunc(delay, deliver)
		}
	}
	return now, nil
}

// PacketCh returns the channel of received packets.
func (n *MemberTransport) PacketCh() <-chan *memberlist.Packet { return n.packets }

// DialTimeout opens a stream. It fails if either member is disconnected, or if either direction is cut or
// silent.
func (n *MemberTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	to, ok := n.mesh.indexOf(addr)
	if !ok {
		return nil, fmt.Errorf("%s: no member has this address", addr)
	}
	forward, _ := n.mesh.get(n.index, to)
	reverse, _ := n.mesh.get(to, n.index)
	other, up := n.mesh.node(to)
	if _, selfUp := n.mesh.node(n.index); !selfUp || !up {
		return nil, fmt.Errorf("%s: connection refused", addr)
	}
	if forward.Cut || reverse.Cut || forward.Silent || reverse.Silent {
		n.mesh.record(n.index, to, EffectCut, 0) // counts as a cut also if a direction is only silent
		time.Sleep(timeout)
		return nil, fmt.Errorf("%s: connection timed out", addr)
	}
	time.Sleep(forward.Delay + reverse.Delay)
	local, remote := net.Pipe()
	select {
	case other.streams <- remote:
		return local, nil
	case <-time.After(timeout):
		local.Close()
		return nil, fmt.Errorf("%s: connection timed out", addr)
	}
}

// StreamCh returns the channel of accepted streams.
func (n *MemberTransport) StreamCh() <-chan net.Conn { return n.streams }

// Shutdown disconnects the member from the network.
func (n *MemberTransport) Shutdown() error {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	n.up = false
	return nil
}
