package dispatch

// Micros is an instant on the courier's clock, or a duration, in whole microseconds.
type Micros int64

// Identifiers. Each has its own type so that the compiler rejects mix-ups. This package does not interpret their values.
type (
	// MessageID identifies a message. A message that is submitted again gets a new one.
	MessageID string
	// EndpointID identifies one server.
	EndpointID string
	// OrderingKey groups messages that are delivered one at a time, in order. It is empty for messages without a key.
	OrderingKey string
	// DestinationID is the number of a receiver of messages.
	DestinationID int32
	// ClassID is an index into Config.Classes.
	ClassID int
	// TenantID is an index into Config.Tenants.
	TenantID int
	// ZoneID is the number of a zone.
	ZoneID int
	// EndpointTypeID is an index into Config.EndpointTypes.
	EndpointTypeID int
	// AttemptNumber counts the attempts of a message from 0.
	AttemptNumber int
)

// Idempotency tells whether a message that may already have run may be sent again. A message has run when a server has
// processed it.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent     Idempotency = iota // may run any number of times
	IdempotencyKey                    // a repeat is recognized by its key, within Class.IdempotencyWindow
	AtMostOnce                        // must not run twice
)

// ValueDecay is how the value of a message decreases after its latency objective.
type ValueDecay int

// The kinds of value decay.
const (
	LinearDecay  ValueDecay = iota // linearly, to Class.LateFactor at the deadline
	HalvingDecay                   // halves with each further latency objective, down to Class.LateFactor
)

// RateQuality is the accuracy of the rate limits on the endpoint list.
type RateQuality int

// The qualities of listed rates.
const (
	NoRates      RateQuality = iota // the list has no rates
	RoughRates                      // listed rates are up to 50 % too high
	NominalRates                    // listed rates equal the limits
)

// Class is the configuration of one class of messages. Objective and TimeToLive count from the first submission of a
// message.
type Class struct {
	Objective         Micros  // latency objective
	TimeToLive        Micros  // time until the deadline
	Priority          float64 // priority weight: the value of a message delivered within its objective
	LateFactor        float64 // share of the priority weight that remains at the deadline, from 0 to 1
	Idempotency       Idempotency
	SameZone          bool   // an idempotency key is recognized only by endpoints of the same zone
	IdempotencyWindow Micros // how long a key is recognized, from the first attempt that may have run
	Ordered           bool   // messages with the same ordering key are delivered one at a time, in order
}

// EndpointType is the configuration of one type of endpoint.
type EndpointType struct {
	Separate   bool // each endpoint forms its own group, with its own limit
	MaxPerCall int  // maximum number of messages in one call
}

// Tenant is the configuration of one sender of messages.
type Tenant struct {
	RatePerSecond float64 // quota in messages per second for all couriers together; 0 for no quota
}

// Config is the configuration of a dispatcher.
type Config struct {
	Seed                  int64 // of the random number generator
	Couriers              int   // number of couriers in the fleet
	CourierNumber         int   // index of this courier in the fleet
	Classes               []Class
	EndpointTypes         []EndpointType
	Tenants               []Tenant
	OverQuotaFactor       float64 // multiplies the priority weight of messages over their tenant's quota
	Decay                 ValueDecay
	Slots                 int    // maximum number of calls in flight
	QueueLimit            int    // the number of unfinished messages is kept below this; 0 for no limit
	MaxAttempts           int    // maximum number of attempts per message
	MaxSharedSize         int    // maximum number of bytes of the messages that share a call; 0 for no limit
	MayCancel             bool   // whether overdue attempts may be canceled
	MaySendRetryAfter     bool   // whether a rejection may carry a Retry-After
	MaxRetryAfter         Micros // longest Retry-After of a rejection
	IdleTimeout           Micros // time after which a server closes an idle connection
	Tick                  Micros // shortest time between two timers, and safety margin at deadlines and other limits in time
	MustPoll              bool   // the endpoint list has to be polled; otherwise it is pushed
	RateQuality           RateQuality
	ReportRemainingIndex  int       // index of the remaining share of the limit in a load report; -1 if reports lack it
	ReportRateIndex       int       // index of the limit, in calls per second, in a load report; -1 if reports lack it
	GroupCost             []float64 // by zone: configured cost of an endpoint that forms its own group, for the order of endpoints
	Zone                  ZoneID    // zone of this courier
	CrossZoneCost         float64   // configured cost of an endpoint in another zone, in the unit of GroupCost
	SlowStartInitialShare float64   // share of its capacity that a server has when it starts
	SlowStart             Micros    // time that a server takes to warm up
	OverloadFactor        float64   // a warming server fails when its load is over this multiple of its current capacity
	KeyCooldown           Micros    // how long an ordering key is held after an attempt that may still run
	GrantedUntil          Micros    // until then an earlier run of this courier may have granted maxGranted of its part of each limit
}

// Phase is the state of an endpoint on the endpoint list.
type Phase int

// The phases of an endpoint.
const (
	InService Phase = iota
	Draining        // finishes its calls and takes no new ones
	Removed
)

// EndpointEntry is one endpoint on the list.
type EndpointEntry struct {
	Endpoint    EndpointID
	Zone        ZoneID
	Type        EndpointTypeID
	Destination DestinationID
	Phase       Phase
	Rate        float64 // limit in calls per second from all couriers together; 0 if unknown
}

// Outcome is how an attempt ended. The values are part of the protocol between processes and must not change.
type Outcome int

// The outcomes of an attempt.
const (
	Delivered   Outcome = iota
	Failure             // the server answered with an error: the message may have run
	Throttled           // rejected because of a limit or a full queue: the message has not run
	TimedOut            // no answer in time: the message may have run, or may still run
	Unreachable         // the connection was refused, or lost before the whole request was written: the message has not run
	Broken              // the connection was lost after the request was written: the message may have run
	Canceled            // given up by the dispatcher or the client: the message may have run
	Unprocessed         // rejected before processing, or never sent: the message has not run
)

var outcomeNames = [...]string{"delivered", "failure", "throttled", "timed out", "unreachable", "broken", "canceled", "unprocessed"}

// String implements fmt.Stringer.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "unknown outcome"
	}
	return outcomeNames[o]
}

// Event is an input of Dispatcher.Handle: one of the types of this package that have the method event.
type Event interface{ event() }

type (
	// MessageAccepted hands over a message that the courier has accepted.
	MessageAccepted struct {
		Message     MessageID
		Destination DestinationID
		Class       ClassID
		Tenant      TenantID
		OrderingKey OrderingKey
		Deadline    Micros
		Resubmitted bool // submitted again by its client after a rejection
		SharedSize  int  // bytes that it takes in a call with others; 0 if not known
	}
	// MessageRecovered hands over a message that was accepted before a restart and has no final answer yet.
	MessageRecovered struct {
		MessageAccepted
		Attempts []PastAttempt // in the order in which they were sent
	}
	// PastAttempt is an attempt from before a restart. An attempt without a known outcome has the outcome Broken.
	PastAttempt struct {
		Endpoint EndpointID
		Zone     ZoneID
		SentAt   Micros
		Outcome  Outcome
		InFlight bool // still in flight at the predecessor in an upgrade: its outcome follows as AttemptFinished
	}
	// AttemptFinished reports the outcome of an attempt, once per attempt. The tags are the field names in the protocol
	// between processes.
	AttemptFinished struct {
		Message     MessageID     `json:"Record"`
		Attempt     AttemptNumber `json:"Trip"`
		Outcome     Outcome       `json:"Outcome"`
		Duration    Micros        `json:"Took"`
		MessageDone bool          `json:"Over"`     // the message has its final answer and needs no further attempt
		RetryAfter  Micros        `json:"Wait"`     // 0 for none
		LoadReport  []float64     `json:"Pressure"` // see Config.ReportRemainingIndex
	}
	// AttemptUnsent reports an attempt that was not sent because this machine lacked a resource, such as a socket.
	AttemptUnsent struct{ AttemptFinished }
	// RetryAfterReceived reports a Retry-After in an answer that ends no attempt, as it may be a repeated one to an earlier call.
	RetryAfterReceived struct {
		Endpoint   EndpointID
		RetryAfter Micros
	}
	// ShutdownScheduled announces when the process ends. Attempts still in flight are cut off then; messages without an
	// attempt in flight are handed off.
	ShutdownScheduled struct{ At Micros }
	// Reconfigured replaces the configuration. Existing classes, endpoint types, zones and tenants keep their indexes, and
	// new ones are appended. The seed and the endpoint list do not change.
	Reconfigured struct{ Config Config }
	// ListAwaited reports that the endpoint list is that of an earlier process, and can be polled now.
	ListAwaited struct{}
	// MaintenanceChanged reports that an operator disabled an endpoint, regardless of its phase on the list, or enabled it
	// again.
	MaintenanceChanged struct {
		Endpoint EndpointID
		Disabled bool
	}
	// MessageCanceled reports that a message no longer needs a final answer.
	MessageCanceled struct{ Message MessageID }
	// TimerFired reports that a timer requested by SetTimer has expired.
	TimerFired struct{}
	// EndpointUpdate delivers the endpoint list or changes of it, or reports a failed poll.
	EndpointUpdate struct {
		Kind       UpdateKind
		Entries    []EndpointEntry
		Incomplete bool // part of the list could not be used and has to be requested again
		Unusable   bool // repeated whole lists contain the same unusable entries: the source confirms them
	}
)

// Snapshotter is a dispatcher that can return a snapshot of its learned state.
type Snapshotter interface{ Snapshot() Snapshot }

// CallPermitter is a dispatcher that reports whether its endpoint list is current enough for a call to leave now.
type CallPermitter interface{ MayCall(now Micros) bool }

// DemandReporter is a dispatcher that reports the demand of its courier at each endpoint group.
type DemandReporter interface{ Demands() []Demand }

var (
	_ Snapshotter    = (*Dispatcher)(nil)
	_ CallPermitter  = (*Dispatcher)(nil)
	_ DemandReporter = (*Dispatcher)(nil)
)

// UpdateKind is what an EndpointUpdate delivers or reports.
type UpdateKind int

// The kinds of updates.
const (
	CachedList   UpdateKind = iota // the whole list, from local storage
	CompleteList                   // the whole list, from a poll
	PartialList                    // only the entries that changed
	ListFailed                     // no list: the poll failed
	ListTimedOut                   // no list: the poll was not answered in time
)

// String returns the name of the kind that is used in logs.
func (k UpdateKind) String() string {
	return [...]string{"cached", "complete", "partial", "failed", "silent"}[k]
}

func (MessageAccepted) event()    {}
func (MessageRecovered) event()   {}
func (AttemptFinished) event()    {}
func (AttemptUnsent) event()      {}
func (RetryAfterReceived) event() {}
func (ShutdownScheduled) event()  {}
func (Reconfigured) event()       {}
func (ListAwaited) event()        {}
func (MaintenanceChanged) event() {}
func (MessageCanceled) event()    {}
func (TimerFired) event()         {}
func (EndpointUpdate) event()     {}

// Action is an output of Dispatcher.Handle for the caller to carry out: one of the types of this package that have the
// method action.
type Action interface{ action() }

type (
	// Send starts an attempt. The attempts of a message are numbered from 0 in the order of their Send actions.
	Send struct {
		Message  MessageID
		Endpoint EndpointID
		Timeout  Micros
	}
	// Cancel gives up an attempt. The caller must still report its outcome.
	Cancel struct {
		Message MessageID
		Attempt AttemptNumber
	}
	// Reject ends a message that the client may safely submit again.
	Reject struct {
		Message    MessageID
		RetryAfter Micros // 0 for none
	}
	// Fail ends a message that is not safe to submit again.
	Fail struct{ Message MessageID }
	// SetTimer requests a TimerFired event at an instant, or later. It replaces a timer that was set for a later instant.
	SetTimer struct{ At Micros }
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle struct{ Endpoint EndpointID }
	// WatchEndpoints polls the endpoint list, for changes or for its current state. After an answered poll the caller starts
	// the next one by itself; after a failed one the dispatcher decides when to poll again.
	WatchEndpoints struct {
		Whole     bool // requests the whole list, instead of the changes since the version that the caller holds
		Immediate bool // requests an answer at once, even if nothing has changed
	}
	// Note is a line for the log. The dispatcher emits none at present; drivers and tests handle it.
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
