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
	Kind         LimitKind
	PerSec       float64
	Window       dispatch.Micros // of a DedupWindow
	RefusedCount bool            // refused calls use it up as well
	Tells        float64         // share of refusals that tell how long to wait
	LeastWait    dispatch.Micros // the shortest wait that is notified
}

// Endpoint is one address of a destination.
type Endpoint struct {
	ID   dispatch.EndpointID
	Zone dispatch.ZoneID
}

// Plan is what a destination is made from.
type Plan struct {
	Dest                  dispatch.DestinationID
	Kind                  dispatch.EndpointTypeID
	SeparateRoutes        bool // each endpoint is a route of its own, with its own limit, outages and return
	PerCall               int  // messages in a call at most
	ItemCost              float64
	Endpoints             []Endpoint
	Workers               int             // calls that an endpoint serves at once
	Queue                 int             // calls that wait at an endpoint at most
	Connections           int             // that an endpoint holds, idle ones counted; 0: any number
	ServiceTime           dispatch.Micros // mean time of service
	Spread                float64         // coefficient of variation of it (lognormal)
	ErrorRate             float64         // of calls in good health
	Limit                 Limit
	Reports               bool // answers tell how much of the limit is left, and the limit
	ReportEvery           dispatch.Micros
	ReportNoise           float64
	SlowStartInitialShare float64 // share of the capacity at a return
	SlowStart             dispatch.Micros
	OverloadFactor        float64 // sent more than this multiple of its present capacity ...
	OverloadWindow        dispatch.Micros
	FallDown              dispatch.Micros // ... for so long, it falls over, and is down for so long
	Seed                  uint64
}

// Capacity is how many calls a second an endpoint in good health serves.
func (p *Plan) Capacity() float64 { return float64(p.Workers) / float64(p.ServiceTime) * 1e6 }

// Item is one message within a call. Origin stays the same when a client hands a message in again.
type Item struct {
	Message, Origin dispatch.MessageID
	Repeat          dispatch.Idempotency
	DedupOneZone    bool            // with an idempotency key: only this zone's endpoints know a repeat
	DedupWindow     dispatch.Micros // with an idempotency key: for so long
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
		Call       *Call
		Outcome    dispatch.Outcome
		RetryAfter dispatch.Micros
		LoadReport []float64 // share of the limit left, and the limit in calls a second
	}
	// Effect is an effect: EarlierEffects is how often this message had taken effect before. Where the destination knew the repeat
	// by its mark, nothing ran and Deduplicated is set.
	Effect struct {
		Item           Item
		Endpoint       dispatch.EndpointID
		Courier        int
		EarlierEffects int
		Deduplicated   bool
	}
	// RouteOverloaded reports that a recovering route was sent more than it could take, and is down again. Sent has what each courier sent.
	RouteOverloaded struct {
		Route int
		Since dispatch.Micros
		Sent  map[int]float64
	}
	// PhaseChanged tells of the health of a route: an outage began, it came back cold, or it is warm again.
	PhaseChanged struct {
		Route int
		Phase Phase
	}
)

func (Answer) output()          {}
func (Effect) output()          {}
func (RouteOverloaded) output() {}
func (PhaseChanged) output()    {}

// Phase is where a route stands.
type Phase int

// The phases of a route.
const (
	Well Phase = iota
	Outage
	Cold
)

func (p Phase) String() string { return [...]string{"well", "out", "cold"}[p] }

// Link is what comes of asking for a connection.
type Link int

// What may come of asking for a connection.
const (
	Connected Link = iota
	Refused
	NoResponse // nothing comes back
)

// FaultKind is a way in which an endpoint goes wrong.
type FaultKind string

// The troubles that an endpoint knows; Size and EffectShare of a Fault mean what stands beside them.
const (
	Refuse  FaultKind = "refuse"  // its process is dead: connections are refused, what was in hand is cut off
	Silent  FaultKind = "silent"  // its machine is gone: nothing comes back, connections never come up
	Hang    FaultKind = "hang"    // takes calls and answers none; EffectShare: share that takes effect all the same
	Shut    FaultKind = "shut"    // answers full to everything, and may tell when it opens
	Errors  FaultKind = "errors"  // Size: share of calls that fail quickly; EffectShare: share of those that took effect
	Swallow FaultKind = "swallow" // Size: share of answers that never come, though the call took effect
	Resets  FaultKind = "resets"  // Size: share of calls whose connection breaks; EffectShare: share of those that took effect
	Slow    FaultKind = "slow"    // Size: times as long
	Stand   FaultKind = "stand"   // stands still until the fault ends
	Shrink  FaultKind = "shrink"  // Size: what is left of its limit
	Crowd   FaultKind = "crowd"   // Size: what is left of its connection table
)

// Fault is one trouble at one endpoint. ID tells faults apart, so that overlapping ones end singly.
type Fault struct {
	ID          int
	Kind        FaultKind
	Size        float64
	EffectShare float64
	Until       dispatch.Micros // when it ends, as far as a destination itself may tell: when a shut one opens
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
