package quota

// Event is an input of Allocator.Handle: one of the types below.
type Event interface{ event() }

type (
	// DemandsChanged reports the demand of the dispatcher for each of its groups.
	DemandsChanged struct{ Demands []Demand }
	// Demand is the demand of the dispatcher for one group. The counters restart at 0 when the dispatcher
	// restarts.
	Demand struct {
		Key
		Limit                       float64 // calls per second of all couriers together; 0 if unknown
		Calls, Delivered, Throttled uint64
		Waiting                     int // messages queued
	}
	// FleetChanged reports the size of the fleet and the names of the other alive members.
	FleetChanged struct {
		Couriers int
		Alive    []string
	}
	// PacketReceived reports a packet of another courier.
	PacketReceived struct{ Packet Packet }
	// Tick is due at a fixed interval. On a Tick the Allocator sends requests and samples.
	Tick struct{}
)

func (DemandsChanged) event() {}
func (FleetChanged) event()   {}
func (PacketReceived) event() {}
func (Tick) event()           {}

// Action is an instruction for the caller of Allocator.Handle: one of the types below.
type Action interface{ action() }

type (
	// SendPacket sends a packet to a member. The packet may be lost.
	SendPacket struct {
		To     string
		Packet Packet
	}
	// ShareChanged reports the current shares to the dispatcher: after a Tick for all groups with a known
	// limit, after a packet for the groups with a new grant.
	ShareChanged struct{ Shares []Share }
)

func (SendPacket) action()   {}
func (ShareChanged) action() {}

// Share is the current share of one group. Granted and Leased are fractions of the base share.
type Share struct {
	Key
	Granted      float64 // subtracted from the base share until GrantedUntil
	GrantedUntil Micros
	Leased       float64 // added to the base share until LeasedUntil
	LeasedUntil  Micros
	Load         float64 // estimated usage of all couriers as a fraction of the limit, valid until LoadUntil
	LoadUntil    Micros
}
