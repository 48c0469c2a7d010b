package quota

// Event is something that happened: one of the types of this file with that method.
type Event interface{ event() }

type (
	// DemandsChanged brings what the dispatcher does at its groups.
	DemandsChanged struct{ Demands []Demand }
	// Demand is what the dispatcher does at one group; the counts are since the process started.
	Demand struct {
		Key
		Limit                       float64 // calls a second from all couriers; 0 if unknown
		Calls, Delivered, Throttled uint64
		Waiting                     int // messages queued
	}
	// FleetChanged brings the size of the fleet, and the names of the other members that are alive.
	FleetChanged struct {
		Couriers int
		Alive    []string
	}
	// PacketReceived brings a packet of another courier.
	PacketReceived struct{ Packet Packet }
	// Tick comes at a steady interval.
	Tick struct{}
)

func (DemandsChanged) event() {}
func (FleetChanged) event()   {}
func (PacketReceived) event() {}
func (Tick) event()           {}

// Action is something to be carried out: one of the types of this file with that method.
type Action interface{ action() }

type (
	// SendPacket sends a packet to a member. It may be lost.
	SendPacket struct {
		To     string
		Packet Packet
	}
	// ShareChanged hands the dispatcher the shares that hold, of all groups that it named.
	ShareChanged struct{ Shares []Share }
)

func (SendPacket) action()   {}
func (ShareChanged) action() {}

// Share is what holds for one group. Granted and Leased are shares of the base share.
type Share struct {
	Key
	Granted      float64 // subtracted, until GrantedUntil
	GrantedUntil Micros
	Leased       float64 // on top, until LeasedUntil
	LeasedUntil  Micros
	Load         float64 // share of the limit that all known couriers use, until LoadUntil
	LoadUntil    Micros
}
