package dispatch

// Micros is an instant of the courier's clock, or a span, in whole microseconds.
type Micros int64

// Ids as the outside names them; none of them carries a meaning.
type (
	RecordID   string
	EndpointID string
	Key        string
	DestID     int32
	WorkloadID int
	PartyID    int
	ZoneID     int
	ShapeID    int
	TripNo     int
)

// Repeat says what may be done about a record that may already have run.
type Repeat int

const (
	Replayable Repeat = iota // may run again
	Referenced               // a repeat is known by its mark, for a while
	SingleUse                // must never run twice
)

// Decay is the way a record's payoff falls after its quoted time.
type Decay int

const (
	Evenly Decay = iota // in a line, down to LatePart at the cut-off
	Halves              // by half with each further quoted time, not under LatePart
)

// Listed says what the rates on the list are worth.
type Listed int

const (
	NoRates Listed = iota
	RoughRates
	NominalRates
)

// Workload is one kind of record.
type Workload struct {
	Quoted, Life Micros // quoted time and cut-off, from when it was first handed in
	Payoff       float64
	LatePart     float64
	Repeat       Repeat
	OneZone      bool   // referenced: only endpoints of one zone know a repeat
	Window       Micros // referenced: for so long
	InOrder      bool
}

// Shape is one kind of destination.
type Shape struct {
	Apart   bool // endpoints are separate routes
	PerCall int
}

// Party is a sender of records with a share.
type Party struct{ PerSec float64 }

// Charter is what a courier is handed at its start.
type Charter struct {
	Salt           int64
	Couriers       int // in all
	Number         int // of this one
	Workloads      []Workload
	Shapes         []Shape
	Parties        []Party
	OverSharePart  float64 // of the payoff, for records beyond a share
	Decay          Decay
	Slots, Hold    int
	MaxTrips       int
	MayCancel      bool
	MayAdvise      bool
	LongestAdvice  Micros
	IdleAfter      Micros // an idle connection is closed
	Tick           Micros
	MustAsk        bool
	Rates          Listed
	LeftAt, RateAt int       // where a report holds the allowance left and the rate; -1 if nowhere
	RouteFee       []float64 // by zone, for each record that a route takes on
	Zone           ZoneID
	CrossFee       float64 // for a trip to another zone
	ColdFrom       float64
	Ramp           Micros
	FallMultiple   float64
	KeyRest        Micros
	LentTo         Micros // until then an earlier start may have lent half of this courier's part of each limit
}

// Phase is where an endpoint stands on the list.
type Phase int

const (
	In Phase = iota
	Draining
	Gone
)

// Listing is one endpoint on the list.
type Listing struct {
	Endpoint EndpointID
	Zone     ZoneID
	Shape    ShapeID
	Dest     DestID
	Phase    Phase
	Rate     float64
}

// Outcome is how a trip ended.
type Outcome int

const (
	Done Outcome = iota
	Failure
	Full
	TimedOut
	Unreachable
	Broken
	Withdrawn
	Void
)

// Event is something that happened: one of the types below.
type Event interface{ event() }

type (
	// Taken hands the courier a record.
	Taken struct {
		Record   RecordID
		Dest     DestID
		Workload WorkloadID
		Party    PartyID
		Key      Key
		CutOff   Micros
		Again    bool // handed in before
	}
	// Recovered hands over a record that was taken before a restart and is not over.
	Recovered struct {
		Taken
		Trips []Past
	}
	// Past is a trip from before a restart; one whose outcome was not heard is Broken.
	Past struct {
		Endpoint EndpointID
		Zone     ZoneID
		Sent     Micros
		Outcome  Outcome
		Out      bool // still out, over an upgrade: its outcome comes as any other
	}
	// Settled is the one outcome of a trip.
	Settled struct {
		Record   RecordID  `json:"Record"`
		Trip     TripNo    `json:"Trip"`
		Outcome  Outcome   `json:"Outcome"`
		Took     Micros    `json:"Took"`
		Over     bool      `json:"Over"` // the record is finished
		Wait     Micros    `json:"Wait"` // told with Full
		Pressure []float64 `json:"Pressure"`
	}
	// Closing announces the end of this process; what is out then is cut off, and all else handed on.
	Closing struct{ At Micros }
	// Rechartered hands a running courier another charter. Workloads, shapes, zones and parties keep their numbers, and
	// further ones come after them; salt and list are as they were.
	Rechartered struct{ Charter Charter }
	// Maintained: people have taken an endpoint out, whatever the list says of it, or put it back.
	Maintained struct {
		Endpoint EndpointID
		Out      bool
	}
	// Left: nobody wants the record any more.
	Left struct{ Record RecordID }
	// Woken is a wake-up that was asked for.
	Woken struct{}
	// ListNews brings the list, or changes of it, or word that asking failed.
	ListNews struct {
		How     ListKind
		Entries []Listing
	}
)

// ListKind tells how to read ListNews.
type ListKind int

const (
	Persisted ListKind = iota
	Complete
	Partial
	ListError
)

func (Taken) event()       {}
func (Recovered) event()   {}
func (Settled) event()     {}
func (Closing) event()     {}
func (Rechartered) event() {}
func (Maintained) event()  {}
func (Left) event()        {}
func (Woken) event()       {}
func (ListNews) event()    {}

// Action is something to be done: one of the types below.
type Action interface{ action() }

type (
	// Send starts a trip; trips of a record are numbered from 0.
	Send struct {
		Record   RecordID
		Endpoint EndpointID
		Limit    Micros
	}
	// Cancel stops waiting for a trip.
	Cancel struct {
		Record RecordID
		Trip   TripNo
	}
	// Bounce ends a record; trying again is harmless.
	Bounce struct {
		Record RecordID
		Pause  Micros
	}
	// Terminate ends a record and promises nothing.
	Terminate struct{ Record RecordID }
	// Wake asks for Woken at or after an instant.
	Wake struct{ At Micros }
	// CloseIdle drops idle connections to an endpoint.
	CloseIdle struct{ Endpoint EndpointID }
	// Watch asks for changes of the list.
	Watch struct{}
	// Note is a line for the operators.
	Note struct{ Text string }
)

func (Send) action()      {}
func (Cancel) action()    {}
func (Bounce) action()    {}
func (Terminate) action() {}
func (Wake) action()      {}
func (CloseIdle) action() {}
func (Watch) action()     {}
func (Note) action()      {}
