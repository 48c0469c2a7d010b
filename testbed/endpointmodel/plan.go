// Package endpointmodel is a destination as its couriers meet it: endpoints with workers, a queue and a connection table, a
// limit, troubles, and a cold return. It is a state machine: it has no socket and no clock, is notified the instant with
// each call of a method, and returns what comes of it. Chance comes from the seed that it is made with.
//
// It is written from the public pages and this project's own docs. It is a model, and no measurement of anybody's system.
package endpointmodel

import "pineport/dispatch"

// LimitKind is how a destination counts what it takes.
type LimitKind int

// The kinds of limits.
const (
	NoLimit LimitKind = iota
	Rate              // so many calls a second, with half a second's value saved up
	Window            // so many calls in each span of fixed bounds
)

// Limit is what a route takes from all couriers together.
type Limit struct {
	Kind            LimitKind
	PerSec          float64
	Span            dispatch.Micros // of a Window
	CountRefused    bool            // refused calls use it up as well
	RetryAfterShare float64         // share of refusals that tell how long to wait
	MinRetryAfter   dispatch.Micros // the shortest wait that is notified
}

// Endpoint is one address of a destination.
type Endpoint struct {
	ID   dispatch.EndpointID
	Zone dispatch.ZoneID
}

// Plan is what a destination is made from.
type Plan struct {
	Dest             dispatch.DestinationID
	Kind             dispatch.EndpointTypeID
	Apart            bool // each endpoint is a route of its own, with its own limit, outages and return
	PerCall          int  // messages in a call at most
	ItemCost         float64
	Endpoints        []Endpoint
	Workers          int             // calls that an endpoint serves at once
	Queue            int             // calls that wait at an endpoint at most
	Connections      int             // that an endpoint holds, idle ones counted; 0: any number
	Answer           dispatch.Micros // mean time of service
	ServiceTimeCV    float64         // coefficient of variation of it (lognormal)
	ErrorRate        float64         // of calls in good health
	Limit            Limit
	Reports          bool // answers tell how much of the limit is left, and the limit
	ReportEvery      dispatch.Micros
	ReportNoise      float64
	ColdFrom         float64 // share of the capacity at a return
	Ramp             dispatch.Micros
	Fall             float64 // sent more than this multiple of its present capacity ...
	FallSpan         dispatch.Micros
	OverloadDowntime dispatch.Micros // ... for so long, it falls over, and is down for so long
	Seed             uint64
}

// Capacity is how many calls a second an endpoint in good health serves.
func (p *Plan) Capacity() float64 { return float64(p.Workers) / float64(p.Answer) * 1e6 }

// Item is one message within a call. Origin stays the same when a client hands a message in again.
type Item struct {
	Message, Origin dispatch.MessageID
	Repeat          dispatch.Idempotency
	OneZone         bool            // with an idempotency key: only this zone's endpoints know a repeat
	Window          dispatch.Micros // with an idempotency key: for so long
}

// Call is one call whose last byte has come.
type Call struct {
	ID       uint64
	Courier  int
	Endpoint dispatch.EndpointID
	Items    []Item
	job      *job
}

// Output is something that comes of a call: one of the types below.
type Output interface{ output() }

type (
	// Answer ends a call. Outcome is Done, Failure, Full, or Broken where its connection breaks.
	Answer struct {
		Call     *Call
		Outcome  dispatch.Outcome
		Wait     dispatch.Micros
		Pressure []float64 // share of the limit left, and the limit in calls a second
	}
	// Ran is an effect: Before is how often this message had taken effect before. Where the destination knew the repeat
	// by its mark, nothing ran and Known is set.
	Ran struct {
		Item     Item
		Endpoint dispatch.EndpointID
		Courier  int
		Before   int
		Known    bool
	}
	// Fell reports that a recovering route was sent more than it could take, and is down again. Sent has what each courier sent.
	Fell struct {
		Route int
		Since dispatch.Micros
		Sent  map[int]float64
	}
	// Turned tells of the health of a route: an outage began, it came back cold, or it is warm again.
	Turned struct {
		Route int
		Phase Phase
	}
)

func (Answer) output() {}
func (Ran) output()    {}
func (Fell) output()   {}
func (Turned) output() {}

// Phase is where a route stands.
type Phase int

// The phases of a route.
const (
	Healthy Phase = iota
	Out
	Cold
)

func (p Phase) String() string { return [...]string{"well", "out", "cold"}[p] }

// ConnectResult is what comes of asking for a connection.
type ConnectResult int

// What may come of asking for a connection.
const (
	Up ConnectResult = iota
	Refused
	NoWord // nothing comes back
)

// Trouble is a way in which an endpoint goes wrong.
type Trouble string

// The troubles that an endpoint knows; Size and Acts of a Fault mean what stands beside them.
const (
	Refuse  Trouble = "refuse"  // its process is dead: connections are refused, what was in hand is cut off
	Silent  Trouble = "silent"  // its machine is gone: nothing comes back, connections never come up
	Hang    Trouble = "hang"    // takes calls and answers none; Acts: share that takes effect all the same
	Shut    Trouble = "shut"    // answers full to everything, and may tell when it opens
	Errors  Trouble = "errors"  // Size: share of calls that fail quickly; Acts: share of those that took effect
	Swallow Trouble = "swallow" // Size: share of answers that never come, though the call took effect
	Resets  Trouble = "resets"  // Size: share of calls whose connection breaks; Acts: share of those that took effect
	Slow    Trouble = "slow"    // Size: times as long
	Pause   Trouble = "stand"   // stands still until the fault ends
	Shrink  Trouble = "shrink"  // Size: what is left of its limit
	Crowd   Trouble = "crowd"   // Size: what is left of its connection table
)

// Fault is one trouble at one endpoint. ID tells faults apart, so that overlapping ones end singly.
type Fault struct {
	ID    int
	Kind  Trouble
	Size  float64
	Acts  float64
	Until dispatch.Micros // when it ends, as far as a destination itself may tell: when a shut one opens
}

// outage tells whether a fault is one from which a route comes back cold.
func (s Fault) outage() bool {
	switch s.Kind {
	case Refuse, Silent, Hang, Shut:
		return true
	case Errors:
		return s.Size > 0.5
	}
	return false
}
