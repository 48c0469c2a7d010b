package quota

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Version of the packets. Unknown fields are ignored.
const Version = 1

const (
	// maxItems bounds the requests, leases and samples of one packet each; a packet holds fewer.
	maxItems = 64
	// maxPacketBytes is below what the transport carries in one datagram.
	maxPacketBytes = 1200
	maxNameBytes   = 128
	maxKeyBytes    = 256
	// maxUsage is the highest plausible use of a limit by one courier: throttled calls may go far beyond the limit.
	maxUsage     = 4 * whole
	maxSampleAge = 60 * second
)

// Packet is what one courier sends to another in one datagram.
type Packet struct {
	Version  int       `cbor:"1,keyasint"`
	From     string    `cbor:"2,keyasint"`
	Requests []Request `cbor:"3,keyasint,omitempty"`
	Leases   []Lease   `cbor:"4,keyasint,omitempty"`
	Samples  []Sample  `cbor:"5,keyasint,omitempty"`
}

// Request asks a member for a share of a limit. The span of the lease counts from the request, at the requesting courier.
type Request struct {
	Key     Key    `cbor:"1,keyasint"`
	Units   Units  `cbor:"2,keyasint"`
	LeaseID uint64 `cbor:"3,keyasint"` // drawn; a lease answers it
}

// Lease answers a Request. It may be smaller.
type Lease struct {
	Key     Key    `cbor:"1,keyasint"`
	Units   Units  `cbor:"2,keyasint"`
	LeaseID uint64 `cbor:"3,keyasint"`
}

// Sample is what one courier has done at a group since its start, and what it uses of the limit now.
type Sample struct {
	Key         Key    `cbor:"1,keyasint"`
	Courier     string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Sequence    uint64 `cbor:"4,keyasint"` // grows
	Age         Micros `cbor:"5,keyasint"`
	Calls       uint64 `cbor:"6,keyasint"`
	Delivered   uint64 `cbor:"7,keyasint"`
	Throttled   uint64 `cbor:"8,keyasint"`
	Usage       Units  `cbor:"9,keyasint"`
}

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxItems, MaxMapPairs: 64, MaxNestedLevels: 6}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Encode makes a packet of words.
func Encode(packet Packet) ([]byte, error) {
	packet.Version = Version
	return cbor.Marshal(packet)
}

// Decode reads a packet; what no courier says is refused whole.
func Decode(text []byte) (packet Packet, err error) {
	if len(text) > 2*maxPacketBytes {
		return Packet{}, fmt.Errorf("%d bytes in one packet", len(text))
	}
	if err := decoder.Unmarshal(text, &packet); err != nil {
		return Packet{}, err
	}
	return packet, packet.check()
}

func (w *Packet) check() error {
	if w.Version != Version || w.From == "" || len(w.From) > maxNameBytes {
		return fmt.Errorf("version %d, from %.20q", w.Version, w.From)
	}
	if len(w.Requests) > maxItems || len(w.Leases) > maxItems || len(w.Samples) > maxItems {
		return fmt.Errorf("%d requests, %d leases, %d samples", len(w.Requests), len(w.Leases), len(w.Samples))
	}
	for _, a := range w.Requests {
		if !a.Key.sound() || a.Units < 1 || a.Units > whole {
			return fmt.Errorf("asks for %d", a.Units)
		}
	}
	for _, lease := range w.Leases {
		if !lease.Key.sound() || lease.Units < 1 || lease.Units > whole {
			return fmt.Errorf("lends %d", lease.Units)
		}
	}
	for _, sample := range w.Samples {
		if !sample.Key.sound() || sample.Courier == "" || len(sample.Courier) > maxNameBytes || sample.Usage < 0 || sample.Usage > maxUsage || sample.Age < 0 || sample.Age > maxSampleAge {
			return fmt.Errorf("counts %d of %.20q, %d old", sample.Usage, sample.Courier, sample.Age)
		}
	}
	return nil
}

// room is how many bytes a packet may still take.
type packetBudget int

func newPacketBudget(from string) packetBudget { return packetBudget(maxPacketBytes - 16 - len(from)) }

func (r *packetBudget) take(bytes int) bool {
	if int(*r) < bytes {
		return false
	}
	*r -= packetBudget(bytes)
	return true
}

// What an ask or a count takes in a packet, to the byte or a little more.
func (a Request) size() int { return 5 + a.Key.size() + number(uint64(a.Units)) + number(a.LeaseID) }

func (n Sample) size() int {
	size := 11 + n.Key.size() + 2 + len(n.Courier)
	for _, v := range []uint64{n.Incarnation, n.Sequence, uint64(n.Age), n.Calls, n.Delivered, n.Throttled, uint64(n.Usage)} {
		size += number(v)
	}
	return size
}

func (k Key) size() int { return 6 + number(uint64(uint32(k.Dest))) + len(k.Endpoint) }

// number is how many bytes an unsigned number takes.
func number(v uint64) int {
	switch {
	case v < 24:
		return 1
	case v < 1<<8:
		return 2
	case v < 1<<16:
		return 3
	case v < 1<<32:
		return 5
	}
	return 9
}

func (k Key) sound() bool { return len(k.Endpoint) <= maxKeyBytes }
