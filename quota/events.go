package quota

// What the quota allocator is notified, and what they say and hand out.

// Event is something that happened: one of the types below.
type Event interface{ event() }

type (
	// DemandsChanged is what the decisions say of their routes.
	DemandsChanged struct{ All []Demand }
	// Demand is one of them; the counts are since the process started.
	Demand struct {
		Key
		Limit                       float64 // calls a second from all couriers; 0 where it is not known
		Calls, Delivered, Throttled uint64
		Waiting                     int // messages held for it
	}
	// FleetChanged: so many couriers are to be counted on, and these others are heard.
	FleetChanged struct {
		Couriers int
		Alive    []string
	}
	// CouriersHeard are words of another courier.
	PacketReceived struct{ Packet Packet }
	// Tick comes at a steady pace.
	Tick struct{}
)

func (DemandsChanged) event() {}
func (FleetChanged) event()   {}
func (PacketReceived) event() {}
func (Tick) event()           {}

// Action is something to be done: one of the types below.
type Action interface{ action() }

type (
	// SendPacket has a member hear words. They may be lost.
	SendPacket struct {
		To     string
		Packet Packet
	}
	// ShareChanged is what stands for the decisions, for all routes that they named.
	ShareChanged struct{ Shares []Share }
)

func (SendPacket) action()   {}
func (ShareChanged) action() {}

// Share is what stands for one route.
type Share struct {
	Key
	Granted      float64 // of the base part, taken off until Grants
	GrantedUntil Micros
	Leased       float64 // of the base part, on top until LeasedUntil
	LeasedUntil  Micros
	Load         float64 // what all couriers that were heard use of the limit, until LoadUntil
	LoadUntil    Micros
}
