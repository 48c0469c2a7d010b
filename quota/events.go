package quota

// What commons are told, and what they say and hand out.

// Event is something that happened: one of the types below.
type Event interface{ event() }

type (
	// Needs is what the decisions say of their routes.
	Needs struct{ All []Need }
	// Need is one of them; the counts are since the process started.
	Need struct {
		Key
		Limit                float64 // calls a second from all couriers; 0 where it is not known
		Calls, Done, Refused uint64
		Waiting              int // records held for it
	}
	// Fleet: so many couriers are to be reckoned with, and these others are heard.
	Fleet struct {
		Couriers int
		Alive    []string
	}
	// Heard are words of another courier.
	Heard struct{ Words Words }
	// Beat comes at a steady pace.
	Beat struct{}
)

func (Needs) event() {}
func (Fleet) event() {}
func (Heard) event() {}
func (Beat) event()  {}

// Action is something to be done: one of the types below.
type Action interface{ action() }

type (
	// Say has a member hear words. They may be lost.
	Say struct {
		To    string
		Words Words
	}
	// Share is what stands for the decisions, for all routes that they named.
	Share struct{ Parts []Part }
)

func (Say) action()   {}
func (Share) action() {}

// Part is what stands for one route.
type Part struct {
	Key
	Lent   float64 // of the base part, taken off until LentTo
	LentTo Micros
	Loan   float64 // of the base part, on top until LoanTo
	LoanTo Micros
	Load   float64 // what all couriers that were heard use of the limit, until LoadTo
	LoadTo Micros
}
