// Package endpointmodel models a destination as couriers see it: endpoints with workers, a queue and a connection limit, a
// limit on calls, faults, and reduced capacity after an outage. It is a state machine without sockets and without a clock: each
// method gets the current time and returns the outputs that result. Random values come from the seed in the Plan.
//
// The model is based on public documentation and on the documentation of this project. It does not represent a particular system.
package endpointmodel

import "pineport/dispatch"

// LimitKind is the way in which a destination limits calls.
type LimitKind int

// The kinds of limits.
const (
	NoLimit     LimitKind = iota
	RateLimit             // token bucket: calls per second, with a burst of half a second's calls
	WindowLimit           // calls per fixed time window
)

// Limit is the limit on the calls that a route accepts from all couriers together.
type Limit struct {
	Kind            LimitKind
	PerSec          float64
	Window          dispatch.Micros // length of a time window
	CountThrottled  bool            // for RateLimit: throttled calls consume tokens as well
	RetryAfterShare float64         // share of refusals that include a Retry-After time
	MinRetryAfter   dispatch.Micros // shortest Retry-After time
}

// Endpoint is one address of a destination.
type Endpoint struct {
	ID   dispatch.EndpointID
	Zone dispatch.ZoneID
}

// Plan describes a destination.
type Plan struct {
	Dest                  dispatch.DestinationID
	Kind                  dispatch.EndpointTypeID
	SeparateRoutes        bool    // each endpoint is a separate route, with its own limit, outages and recovery
	PerCall               int     // maximum number of messages per call
	ItemCost              float64 // work of each further message, as a share of the work of a call with one message
	Endpoints             []Endpoint
	Workers               int             // calls that an endpoint serves at the same time
	Queue                 int             // maximum number of calls in the queue of an endpoint
	Connections           int             // maximum number per endpoint, including idle ones; 0: unlimited
	ServiceTime           dispatch.Micros // mean service time
	ServiceTimeCV         float64         // coefficient of variation of the service time (lognormal)
	ErrorRate             float64         // share of calls that fail without any fault
	Limit                 Limit
	Reports               bool            // answers include a load report: the share of the limit that is left, and the limit
	ReportEvery           dispatch.Micros // maximum age of a load report
	ReportNoise           float64         // relative standard deviation of the values in a load report
	SlowStartInitialShare float64         // share of the capacity at the start of a recovery
	SlowStart             dispatch.Micros // time from the start of a recovery to the full capacity
	OverloadFactor        float64         // calls that overload a recovering route, as a multiple of its current capacity (see overloadSlack); 0: never
	OverloadWindow        dispatch.Micros // time over which the calls to a recovering route are counted
	OverloadDowntime      dispatch.Micros // how long an overloaded route is down
	Seed                  uint64
}

// Capacity returns the number of calls per second that a healthy endpoint can serve.
func (p *Plan) Capacity() float64 { return float64(p.Workers) / float64(p.ServiceTime) * 1e6 }

// Item is one message in a call. When a client submits a message again, Message changes and Origin stays the same.
type Item struct {
	Message, Origin dispatch.MessageID
	Repeat          dispatch.Idempotency
	DedupOneZone    bool            // with an idempotency key: only endpoints in the zone of the first effect recognize a repeat
	DedupWindow     dispatch.Micros // with an idempotency key: how long a repeat is recognized
}

// Call is a call that has been received completely.
type Call struct {
	ID       uint64
	Courier  int
	Endpoint dispatch.EndpointID
	Items    []Item
	job      *job
}

// Output is an output of the state machine: one of the types below.
type Output interface{ output() }

type (
	// Answer ends a call. Its outcome is Delivered, Failure, Throttled, or Broken if the connection breaks.
	Answer struct {
		Call       *Call
		Outcome    dispatch.Outcome
		RetryAfter dispatch.Micros
		LoadReport []float64 // load report: share of the limit that is left, and the limit in calls per second
	}
	// Effect reports that a message took effect. EarlierEffects is the number of its earlier effects. If the destination recognized a
	// repeat by its idempotency key, Deduplicated is set and the message had no further effect.
	Effect struct {
		Item           Item
		Endpoint       dispatch.EndpointID
		Courier        int
		EarlierEffects int
		Deduplicated   bool
	}
	// RouteOverloaded reports that a recovering route received too many calls and is down again. Sent holds the number of calls from each
	// courier since the time Since.
	RouteOverloaded struct {
		Route int
		Since dispatch.Micros
		Sent  map[int]float64
	}
	// PhaseChanged reports that the phase of a route changed.
	PhaseChanged struct {
		Route int
		Phase RoutePhase
	}
)

func (Answer) output()          {}
func (Effect) output()          {}
func (RouteOverloaded) output() {}
func (PhaseChanged) output()    {}

// RoutePhase is the state of health of a route.
type RoutePhase int

// The phases of a route.
const (
	Healthy RoutePhase = iota
	Outage             // all endpoints have an outage
	Cold               // recovering: the capacity is reduced
)

func (p RoutePhase) String() string { return [...]string{"well", "out", "cold"}[p] }

// ConnectResult is the result of a connection attempt.
type ConnectResult int

// The results of a connection attempt.
const (
	Connected ConnectResult = iota
	Refused
	NoResponse // no response arrives
)

// FaultKind is a kind of fault of an endpoint.
type FaultKind string

// The kinds of faults. The comments say what Size and EffectShare of a Fault mean for each kind that uses them.
const (
	Refuse  FaultKind = "refuse"  // the process is down: connections are refused, and open calls break
	Silent  FaultKind = "silent"  // the host is unreachable: connection attempts and calls get no response
	Hang    FaultKind = "hang"    // calls get no answer; EffectShare: share of the calls that take effect anyway
	Shut    FaultKind = "shut"    // all calls are throttled, possibly with a Retry-After time
	Errors  FaultKind = "errors"  // Size: share of calls that fail quickly; EffectShare: share of the failed calls that take effect anyway
	Swallow FaultKind = "swallow" // Size: share of calls that take effect but get no answer
	Resets  FaultKind = "resets"  // Size: share of calls whose connection breaks; EffectShare: share of these that take effect anyway
	Slow    FaultKind = "slow"    // Size: factor by which service takes longer
	Pause   FaultKind = "stand"   // the process is paused until the fault ends
	Shrink  FaultKind = "shrink"  // Size: share of the limit that is left
	Crowd   FaultKind = "crowd"   // Size: share of the maximum number of connections that is left
)

// Fault is one fault at one endpoint. ID identifies it, so that each of several overlapping faults can be ended.
type Fault struct {
	ID          int
	Kind        FaultKind
	Size        float64
	EffectShare float64
	Until       dispatch.Micros // end of the fault, if the endpoint knows it: a shut endpoint derives its Retry-After time from it
}

// outage reports whether the fault is an outage, after which a route recovers with reduced capacity.
func (f Fault) outage() bool {
	switch f.Kind {
	case Refuse, Silent, Hang, Shut:
		return true
	case Errors:
		return f.Size > 0.5
	}
	return false
}
