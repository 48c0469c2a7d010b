package quota

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Version is the version of the packet format. Receivers ignore unknown fields.
const Version = 1

const (
	// maxItems limits the number of requests, of leases and of samples in one packet. The packets that the Allocator sends have at most as
	// many.
	maxItems = 64
	// maxPacketBytes is less than the transport can carry in one datagram.
	maxPacketBytes = 1200
	maxNameBytes   = 128
	maxKeyBytes    = 256
	// maxUsage is the highest plausible usage of one courier. Throttled calls count too, so usage may be far above the limit.
	maxUsage     = 4 * fullLimit
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

// Request asks a member for a share of a limit. The duration of the lease counts from the request, on the clock of the requesting courier.
type Request struct {
	Key     Key    `cbor:"1,keyasint"`
	Units   Units  `cbor:"2,keyasint"`
	LeaseID uint64 `cbor:"3,keyasint"` // random; the Lease that answers the request has the same id
}

// Lease answers a Request. It may be for fewer Units than requested.
type Lease struct {
	Key     Key    `cbor:"1,keyasint"`
	Units   Units  `cbor:"2,keyasint"`
	LeaseID uint64 `cbor:"3,keyasint"`
}

// Sample holds the counters of one courier for a group since the start of its dispatcher, and its current usage of the limit.
type Sample struct {
	Key         Key    `cbor:"1,keyasint"`
	Courier     string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Sequence    uint64 `cbor:"4,keyasint"` // higher for later samples of the same incarnation
	Age         Micros `cbor:"5,keyasint"` // time since the sample was taken
	Calls       uint64 `cbor:"6,keyasint"`
	Delivered   uint64 `cbor:"7,keyasint"`
	Throttled   uint64 `cbor:"8,keyasint"`
	Usage       Units  `cbor:"9,keyasint"`
}

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxItems, MaxMapPairs: 64, MaxNestedLevels: 6}.DecMode()
	if err != nil {
		panic(err) // cannot happen: the options are constants
	}
	return mode
}()

// Encode encodes a packet as CBOR and sets its version.
func Encode(packet Packet) ([]byte, error) {
	packet.Version = Version
	return cbor.Marshal(packet)
}

// Decode decodes a packet. It rejects packets longer than twice maxPacketBytes, and the complete packet if any value in it is out of range.
func Decode(data []byte) (packet Packet, err error) {
	if len(data) > 2*maxPacketBytes {
		return Packet{}, fmt.Errorf("packet too long: %d bytes", len(data))
	}
	if err := decoder.Unmarshal(data, &packet); err != nil {
		return Packet{}, err
	}
	return packet, packet.validate()
}

func (p *Packet) validate() error {
	if p.Version != Version || p.From == "" || len(p.From) > maxNameBytes {
		return fmt.Errorf("unsupported version %d or invalid sender %.20q", p.Version, p.From)
	}
	if len(p.Requests) > maxItems || len(p.Leases) > maxItems || len(p.Samples) > maxItems {
		return fmt.Errorf("too many items: %d requests, %d leases, %d samples", len(p.Requests), len(p.Leases), len(p.Samples))
	}
	for _, request := range p.Requests {
		if !request.Key.valid() || request.Units < 1 || request.Units > fullLimit {
			return fmt.Errorf("invalid request for %d ppm", request.Units)
		}
	}
	for _, lease := range p.Leases {
		if !lease.Key.valid() || lease.Units < 1 || lease.Units > fullLimit {
			return fmt.Errorf("invalid lease of %d ppm", lease.Units)
		}
	}
	for _, sample := range p.Samples {
		if !sample.Key.valid() || sample.Courier == "" || len(sample.Courier) > maxNameBytes || sample.Usage < 0 || sample.Usage > maxUsage || sample.Age < 0 || sample.Age > maxSampleAge {
			return fmt.Errorf("invalid sample: usage %d ppm of courier %.20q, age %d us", sample.Usage, sample.Courier, sample.Age)
		}
	}
	return nil
}

// packetBudget is the number of bytes that can still be added to a packet. 16 bytes are reserved for Version, the keys of the fields, and
// the headers of the lists.
type packetBudget int

func newPacketBudget(from string) packetBudget { return packetBudget(maxPacketBytes - 16 - len(from)) }

func (b *packetBudget) reserve(bytes int) bool {
	if int(*b) < bytes {
		return false
	}
	*b -= packetBudget(bytes)
	return true
}

// size returns the encoded size in bytes, or a few bytes more. The constants cover the headers of maps and strings and the keys of the
// fields.
func (r Request) size() int { return 5 + r.Key.size() + uintLen(uint64(r.Units)) + uintLen(r.LeaseID) }

// size returns the encoded size in bytes, or a few bytes more, as Request.size does.
func (s Sample) size() int {
	size := 11 + s.Key.size() + 2 + len(s.Courier)
	for _, v := range []uint64{s.Incarnation, s.Sequence, uint64(s.Age), s.Calls, s.Delivered, s.Throttled, uint64(s.Usage)} {
		size += uintLen(v)
	}
	return size
}

func (k Key) size() int { return 6 + uintLen(uint64(uint32(k.Dest))) + len(k.Endpoint) }

// uintLen returns the size of an unsigned integer in CBOR, in bytes.
func uintLen(v uint64) int {
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

func (k Key) valid() bool { return len(k.Endpoint) <= maxKeyBytes }
