// Package netfault simulates network faults between processes in user space. Each ordered pair of processes
// has its own proxy address, where packets and streams can be lost, delayed, throttled, reordered,
// duplicated, broken or cut, in one direction or in both. Mesh does so in memory, without throttling and
// breaking of streams, for tests that run hundreds of members in virtual time.
package netfault

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"slices"
	"sync"
	"time"
)

// Conditions are the network conditions from one process to another.
type Conditions struct {
	Loss, Duplicate, Reorder float64       // shares of the packets, 0 to 1
	Delay, Jitter            time.Duration // Delay applies to packets and stream data, Jitter (uniform, from 0) to packets
	Rate                     float64       // limit for stream data, in bytes per second; 0: no limit
	Cut                      bool          // drops packets; cut in both directions: streams break, new ones fail; cut in one: its stream data stalls
	Silent                   bool          // drops packets; streams stay open but carry no data (Mesh: new streams fail)
	BreakAfter               int           `json:"Tear"` // breaks a stream within the data that exceeds this many bytes; 0: never
}

// Effects of faults on packets and streams, as they are named in the counts and in the trace.
const (
	EffectLost       = "lost"
	EffectDuplicated = "doubled"
	EffectReordered  = "reordered"
	EffectDelayed    = "delayed"
	EffectThrottled  = "throttled"
	EffectCut        = "cut"
	EffectSilent     = "silent"
	EffectBroken     = "torn"
)

// injector holds the conditions of all pairs of processes and counts the faults that took effect.
type injector struct {
	mu          sync.Mutex
	rng         *rand.Rand
	processes   int
	current     [][]Conditions
	changed     chan struct{} // closed and replaced at each change of conditions
	faultCounts map[string]int
	trace       *json.Encoder
	startedAt   time.Time
}

func newInjector(n int, seed int64, trace io.Writer) *injector {
	in := &injector{rng: rand.New(rand.NewSource(seed)), processes: n, faultCounts: map[string]int{}, changed: make(chan struct{}), startedAt: time.Now()}
	for range n {
		in.current = append(in.current, make([]Conditions, n))
	}
	if trace != nil {
		in.trace = json.NewEncoder(trace)
	}
	return in
}

// traceLine is one line of the trace.
type traceLine struct {
	At   float64     `json:"at_s"`
	From int         `json:"from"`
	To   int         `json:"to"`
	What string      `json:"what"`
	Size int         `json:"size,omitempty"`
	Now  *Conditions `json:"now,omitempty"`
}

func (in *injector) writeTrace(line traceLine) {
	if in.trace != nil {
		line.At = time.Since(in.startedAt).Seconds()
		in.trace.Encode(line)
	}
}

// Set sets the conditions from one process to another.
func (in *injector) Set(from, to int, c Conditions) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.current[from][to] == c {
		return
	}
	in.current[from][to] = c
	in.writeTrace(traceLine{From: from, To: to, What: "set", Now: &c})
	close(in.changed)
	in.changed = make(chan struct{})
}

// get returns the conditions from one process to another, and a channel that is closed at the next change of
// any conditions.
func (in *injector) get(from, to int) (Conditions, <-chan struct{}) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.current[from][to], in.changed
}

// FaultCounts returns how often each kind of fault took effect.
func (in *injector) FaultCounts() map[string]int {
	in.mu.Lock()
	defer in.mu.Unlock()
	all := map[string]int{}
	for k, n := range in.faultCounts {
		all[k] = n
	}
	return all
}

// recordLocked counts and traces a fault that took effect. The caller holds the lock.
func (in *injector) recordLocked(from, to int, kind string, size int) {
	in.faultCounts[kind]++
	in.writeTrace(traceLine{From: from, To: to, What: kind, Size: size})
}

func (in *injector) record(from, to int, kind string, size int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.recordLocked(from, to, kind, size)
}

// packetDelays returns the delay of each copy of a packet that is delivered; none if the packet is lost.
func (in *injector) packetDelays(from, to, size int) (delays []time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	c := in.current[from][to]
	switch {
	case c.Cut:
		in.recordLocked(from, to, EffectCut, size)
		return nil
	case c.Silent:
		in.recordLocked(from, to, EffectSilent, size)
		return nil
	case c.Loss > 0 && in.rng.Float64() < c.Loss:
		in.recordLocked(from, to, EffectLost, size)
		return nil
	}
	copies := 1
	if c.Duplicate > 0 && in.rng.Float64() < c.Duplicate {
		in.recordLocked(from, to, EffectDuplicated, size)
		copies = 2
	}
	for range copies {
		delay := c.Delay
		if c.Jitter > 0 {
			delay += time.Duration(in.rng.Int63n(int64(c.Jitter)))
		}
		if c.Reorder > 0 && in.rng.Float64() < c.Reorder {
			in.recordLocked(from, to, EffectReordered, size)
			delay += time.Duration(1+in.rng.Intn(50)) * time.Millisecond
		}
		if c.Delay > 0 || c.Jitter > 0 {
			in.recordLocked(from, to, EffectDelayed, size)
		}
		delays = append(delays, delay)
	}
	return delays
}

// Fault is a network or process fault that begins at a time and lasts for a length of time. A network fault
// affects the links from each process in From to each in To, and for most kinds also the links back. An empty
// From means all processes that are not in To, and the reverse. A process fault affects the processes in
// From.
type Fault struct {
	Kind   string  `toml:"kind" json:"kind"`
	At     float64 `toml:"at_s" json:"at_s"`
	Length float64 `toml:"length_s" json:"length_s"`
	From   []int   `toml:"from" json:"from"`
	To     []int   `toml:"to" json:"to"`
	// Size is the probability for "loss", "duplicate" and "reorder", the delay and the maximum jitter in
	// milliseconds for "slow", bytes per second for "throttle", bytes for "tear", and the period in seconds
	// for "flap".
	Size float64 `toml:"size" json:"size"`
}

// networkFaults are the kinds of network fault: the conditions for a Size, the names under which their
// effects are counted, and whether the fault applies in both directions.
var networkFaults = map[string]struct {
	conditions func(size float64) Conditions
	countedAs  []string
	bothWays   bool
}{
	"cut":       {func(float64) Conditions { return Conditions{Cut: true} }, []string{EffectCut}, true},
	"one-way":   {func(float64) Conditions { return Conditions{Cut: true} }, []string{EffectCut}, false},
	"silent":    {func(float64) Conditions { return Conditions{Silent: true} }, []string{EffectSilent}, true},
	"loss":      {func(s float64) Conditions { return Conditions{Loss: s} }, []string{EffectLost}, true},
	"slow":      {func(s float64) Conditions { return Conditions{Delay: ms(s), Jitter: ms(s)} }, []string{EffectDelayed}, true},
	"throttle":  {func(s float64) Conditions { return Conditions{Rate: s} }, []string{EffectThrottled}, true},
	"duplicate": {func(s float64) Conditions { return Conditions{Duplicate: s} }, []string{EffectDuplicated}, true},
	"reorder":   {func(s float64) Conditions { return Conditions{Reorder: s} }, []string{EffectReordered}, true},
	"tear":      {func(s float64) Conditions { return Conditions{BreakAfter: int(s)} }, []string{EffectBroken}, true},
	"flap":      {func(float64) Conditions { return Conditions{Cut: true} }, []string{EffectCut}, true}, // cut for half of each period
}

func ms(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// IsNetworkFault reports whether a kind of fault is a network fault.
func IsNetworkFault(kind string) bool { _, ok := networkFaults[kind]; return ok }

// pairs returns the ordered pairs of processes that a fault affects.
func (f Fault) pairs(n int) (all [][2]int) {
	processes := func(named, others []int) []int {
		if len(named) > 0 {
			return named
		}
		var rest []int
		for i := range n {
			if !slices.Contains(others, i) {
				rest = append(rest, i)
			}
		}
		return rest
	}
	for _, a := range processes(f.From, f.To) {
		for _, b := range processes(f.To, f.From) {
			if a == b || a >= n || b >= n {
				continue
			}
			if all = append(all, [2]int{a, b}); networkFaults[f.Kind].bothWays {
				all = append(all, [2]int{b, a})
			}
		}
	}
	return all
}

// Begin starts a fault by setting the conditions of all links that it affects, in place of their previous
// conditions. The returned function ends it by clearing the conditions of these links, and returns an error
// if the fault never took effect. Faults that overlap on a link therefore override each other.
func (in *injector) Begin(f Fault) (end func() error) {
	spec := networkFaults[f.Kind]
	before := in.FaultCounts()
	apply := func(on bool) {
		for _, p := range f.pairs(in.processes) {
			c := Conditions{}
			if on {
				c = spec.conditions(f.Size)
			}
			in.Set(p[0], p[1], c)
		}
	}
	apply(true)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for on := true; f.Kind == "flap"; {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(f.Size / 2 * float64(time.Second))):
			}
			on = !on
			apply(on)
		}
		<-stop
	}()
	return func() error {
		close(stop)
		<-stopped
		apply(false)
		after := in.FaultCounts()
		for _, k := range spec.countedAs {
			if after[k] > before[k] {
				return nil
			}
		}
		return fmt.Errorf("fault %s at %v s never took effect", f.Kind, f.At)
	}
}

// RandomFaults returns n random faults from a seed, spread over a run of length seconds so that they do not overlap.
func RandomFaults(seed int64, n, processes int, length float64) (all []Fault) {
	rng := rand.New(rand.NewSource(seed))
	kinds := []string{"cut", "one-way", "silent", "loss", "slow", "duplicate", "reorder", "flap"}
	size := map[string]float64{"loss": 0.3, "slow": 200, "duplicate": 0.5, "reorder": 0.5, "flap": 2}
	for i := range n {
		slot := length / float64(n)
		f := Fault{Kind: kinds[rng.Intn(len(kinds))], At: float64(i)*slot + 0.1*slot, Length: slot * (0.4 + 0.4*rng.Float64())}
		f.Size = size[f.Kind]
		for range 1 + rng.Intn(max(1, processes/3)) {
			f.From = append(f.From, rng.Intn(processes))
		}
		slices.Sort(f.From)
		f.From = slices.Compact(f.From)
		all = append(all, f)
	}
	return all
}
