package dispatch

// Micros is an instant of the courier's clock, or a span of time, in whole microseconds.
type Micros int64

// Identifiers. Each has a type of its own so that none is taken for another; none has a meaning here.
type (
	// MessageID names a message; a message that is submitted again has a new one.
	MessageID string
	// EndpointID names one server.
	EndpointID string
	// OrderingKey groups messages that are delivered one at a time, in order; empty for none.
	OrderingKey string
	// DestinationID numbers a receiver of messages.
	DestinationID int32
	// ClassID is an index into Config.Classes.
	ClassID int
	// TenantID is an index into Config.Tenants.
	TenantID int
	// ZoneID numbers a zone.
	ZoneID int
	// EndpointTypeID is an index into Config.EndpointTypes.
	EndpointTypeID int
	// AttemptNumber counts the attempts of a message from 0.
	AttemptNumber int
)

// Idempotency says whether a message that may already have run may be sent again.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent     Idempotency = iota // may run any number of times
	IdempotencyKey                    // a repeat is recognized by its key, within Class.IdempotencyWindow
	AtMostOnce                        // must not run twice
)

// ValueDecay is how the value of a message falls after its latency objective.
type ValueDecay int

// The ways in which a value decays.
const (
	LinearDecay  ValueDecay = iota // linearly, to Class.LateFactor at the deadline
	HalvingDecay                   // by half with each further latency objective, not below Class.LateFactor
)

// RateQuality says how far the rates on the endpoint list can be relied on.
type RateQuality int

// The qualities of listed rates.
const (
	NoRates      RateQuality = iota // there are none
	RoughRates                      // up to half too high
	NominalRates                    // as they are
)

// Class is the configuration of one class of messages. Its times count from when a message was first submitted.
type Class struct {
	Objective         Micros  // latency objective
	TimeToLive        Micros  // until the deadline
	Priority          float64 // weight of a message delivered within its objective
	LateFactor        float64 // share of the weight that is left at the deadline, from 0 to 1
	Idempotency       Idempotency
	SameZone          bool   // only endpoints of one zone recognize an idempotency key
	IdempotencyWindow Micros // for how long, from the first attempt that may have run
	Ordered           bool   // by ordering key
}

// EndpointType is the configuration of one type of endpoints.
type EndpointType struct {
	Separate   bool // each endpoint is a group of its own, with its own limit
	MaxPerCall int  // messages in one call
}

// Tenant is the configuration of one sender of messages.
type Tenant struct {
	RatePerSecond float64 // quota in messages a second, of all couriers; 0 for none
}

// Config is the configuration of a dispatcher.
type Config struct {
	Seed                  int64 // of all random draws
	Couriers              int   // size of the fleet
	CourierNumber         int   // of this one in the fleet
	Classes               []Class
	EndpointTypes         []EndpointType
	Tenants               []Tenant
	OverQuotaFactor       float64 // of the priority weight, for messages over their tenant's quota
	Decay                 ValueDecay
	Slots                 int // calls in flight at once
	QueueLimit            int // messages held; 0 for no limit
	MaxAttempts           int // of a message
	MayCancel             bool
	MaySendRetryAfter     bool
	MaxRetryAfter         Micros
	IdleTimeout           Micros // after which a server closes an idle connection
	Tick                  Micros // shortest time between two timers
	MustPoll              bool   // the endpoint list has to be polled; else it is pushed
	RateQuality           RateQuality
	ReportRemainingIndex  int       // of the remaining share of the limit in a load report; -1 if there is none
	ReportRateIndex       int       // of the limit in a load report, in calls a second; -1 if there is none
	GroupCost             []float64 // by zone, of each message to a separate endpoint
	Zone                  ZoneID    // of this courier
	CrossZoneCost         float64   // of a call to another zone
	SlowStartInitialShare float64   // share of its capacity with which a server starts
	SlowStart             Micros    // how long a server takes to warm up
	OverloadFactor        float64   // a warming server fails under so many times its capacity
	KeyCooldown           Micros    // how long an ordering key is held after an attempt that may still run
	GrantedUntil          Micros    // an earlier start may have granted maxGranted of each limit until then
}

// Phase is the state of an endpoint on the list.
type Phase int

// The phases of an endpoint.
const (
	InService Phase = iota
	Draining        // finishes its calls and takes no new one
	Removed
)

// EndpointEntry is one endpoint on the list.
type EndpointEntry struct {
	Endpoint    EndpointID
	Zone        ZoneID
	Type        EndpointTypeID
	Destination DestinationID
	Phase       Phase
	Rate        float64 // limit in calls a second from all couriers; 0 if unknown
}

// Outcome is how an attempt ended. The numbers are those of messages between processes, and must not change.
type Outcome int

// The outcomes of an attempt.
const (
	Delivered   Outcome = iota
	Failure             // an error was answered: it may have run
	Throttled           // rejected, by a limit or a full queue: it has not run
	TimedOut            // it may have run, or may yet
	Unreachable         // the connection was refused, or lost before the whole request was written: it has not run
	Broken              // the connection was lost after that: it may have run
	Canceled            // given up by the dispatcher or the client: it may have run
	Unprocessed         // rejected without being looked at, or not sent: it has not run
)

var outcomeNames = [...]string{"delivered", "failure", "throttled", "timed out", "unreachable", "broken", "canceled", "unprocessed"}

// String implements fmt.Stringer.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "unknown outcome"
	}
	return outcomeNames[o]
}

// Event is something that happened: one of the types of this package with that method.
type Event interface{ event() }

type (
	// MessageAccepted hands over a message that was taken on.
	MessageAccepted struct {
		Message     MessageID
		Destination DestinationID
		Class       ClassID
		Tenant      TenantID
		OrderingKey OrderingKey
		Deadline    Micros
		Resubmitted bool // by its client, after a rejection
	}
	// MessageRecovered hands over a message that was taken on before a restart and has no final answer.
	MessageRecovered struct {
		MessageAccepted
		Attempts []PastAttempt // in order
	}
	// PastAttempt is an attempt from before a restart; one without an outcome counts as Broken.
	PastAttempt struct {
		Endpoint EndpointID
		Zone     ZoneID
		SentAt   Micros
		Outcome  Outcome
		InFlight bool // at the predecessor in an upgrade: its outcome comes as AttemptFinished
	}
	// AttemptFinished is the one outcome of an attempt. The tags are the names that it has between processes.
	AttemptFinished struct {
		Message     MessageID     `json:"Record"`
		Attempt     AttemptNumber `json:"Trip"`
		Outcome     Outcome       `json:"Outcome"`
		Duration    Micros        `json:"Took"`
		MessageDone bool          `json:"Over"`     // nothing more is owed for the message
		RetryAfter  Micros        `json:"Wait"`     // 0 for none
		LoadReport  []float64     `json:"Pressure"` // see Config.ReportRemainingIndex
	}
	// AttemptUnsent is the outcome of an attempt that never left, as this machine was short of something.
	AttemptUnsent struct{ AttemptFinished }
	// ShutdownScheduled announces the end of the process. Attempts in flight are cut off then; other messages are handed on.
	ShutdownScheduled struct{ At Micros }
	// Reconfigured replaces the configuration. Classes, endpoint types, zones and tenants keep their numbers, with new ones
	// after them; the seed and the endpoint list stay as they are.
	Reconfigured struct{ Config Config }
	// MaintenanceChanged reports that an operator disabled an endpoint, whatever the list says of it, or enabled it again.
	MaintenanceChanged struct {
		Endpoint EndpointID
		Disabled bool
	}
	// MessageCanceled reports that a message needs no final answer any more.
	MessageCanceled struct{ Message MessageID }
	// TimerFired reports that a timer is over.
	TimerFired struct{}
	// EndpointUpdate brings the endpoint list, changes of it, or the failure of a poll.
	EndpointUpdate struct {
		Kind       UpdateKind
		Entries    []EndpointEntry
		Incomplete bool // a part of the list could not be used, and has to be asked for again
		Unusable   bool // the whole list says so again and again: its source means what cannot be used here
	}
)

// Snapshotter is a dispatcher whose learned state can be taken.
type Snapshotter interface{ Snapshot() Snapshot }

// CallPermitter is a dispatcher that tells whether a call may leave under the endpoint list that is held.
type CallPermitter interface{ MayCall(now Micros) bool }

// DemandReporter is a dispatcher that tells what its courier does at each group.
type DemandReporter interface{ Demands() []Demand }

var (
	_ Snapshotter    = (*Dispatcher)(nil)
	_ CallPermitter  = (*Dispatcher)(nil)
	_ DemandReporter = (*Dispatcher)(nil)
)

// UpdateKind says what an EndpointUpdate brings.
type UpdateKind int

// The kinds of updates.
const (
	CachedList   UpdateKind = iota // the whole list, as it was stored
	CompleteList                   // the whole list
	PartialList                    // entries that changed
	ListFailed                     // nothing: the poll failed
	ListTimedOut                   // nothing: the poll was not answered in time
)

// String returns the kind as it stands in logs.
func (k UpdateKind) String() string {
	return [...]string{"cached", "complete", "partial", "failed", "silent"}[k]
}

func (MessageAccepted) event()    {}
func (MessageRecovered) event()   {}
func (AttemptFinished) event()    {}
func (AttemptUnsent) event()      {}
func (ShutdownScheduled) event()  {}
func (Reconfigured) event()       {}
func (MaintenanceChanged) event() {}
func (MessageCanceled) event()    {}
func (TimerFired) event()         {}
func (EndpointUpdate) event()     {}

// Action is something to be carried out: one of the types of this package with that method.
type Action interface{ action() }

type (
	// Send starts an attempt; the attempts of a message are numbered from 0 in the order of their Sends.
	Send struct {
		Message  MessageID
		Endpoint EndpointID
		Timeout  Micros
	}
	// Cancel gives up an attempt. Its outcome is still to be reported.
	Cancel struct {
		Message MessageID
		Attempt AttemptNumber
	}
	// Reject ends a message that is safe to submit again.
	Reject struct {
		Message    MessageID
		RetryAfter Micros // 0 for none
	}
	// Fail ends a message that is not safe to submit again.
	Fail struct{ Message MessageID }
	// SetTimer has TimerFired reported at an instant, or later. A timer that was set for a later instant is replaced.
	SetTimer struct{ At Micros }
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle struct{ Endpoint EndpointID }
	// WatchEndpoints polls the endpoint list: for changes, or for what there is now, after which a watch goes on by itself.
	WatchEndpoints struct {
		Whole     bool // the whole list, whatever version is held
		Immediate bool // an answer is due at once, with or without changes
	}
	// Note is a line for the log.
	Note struct{ Text string }
)

func (Send) action()           {}
func (Cancel) action()         {}
func (Reject) action()         {}
func (Fail) action()           {}
func (SetTimer) action()       {}
func (CloseIdle) action()      {}
func (WatchEndpoints) action() {}
func (Note) action()           {}
