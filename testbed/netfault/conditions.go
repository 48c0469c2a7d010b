// Package netfault is the network between processes, in user space: each directed pair of them has an address of its own that
// leads to the other's, and what passes there can be lost, delayed, throttled, put out of order, doubled, torn or cut, one
// way or both. The same conditions hold in memory (Mesh), for tests that run hundreds of members in virtual time.
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

// Conditions are what holds on a directed pair.
type Conditions struct {
	Loss, Duplicate, Reorder float64       // shares of packets
	Delay, Jitter            time.Duration // of packets, and of what streams carry
	Rate                     float64       // bytes a second of streams; 0: any
	Cut                      bool          // packets vanish, streams break and none begin
	Silent                   bool          // packets vanish; streams stay open and nothing comes through
	Tear                     int           // streams break after so many bytes more, in the midst of what they carry; 0: never
}

// Kinds of fault, as they are counted when they fault.
const (
	Lost      = "lost"
	Doubled   = "doubled"
	Reordered = "reordered"
	Delayed   = "delayed"
	Throttled = "throttled"
	Severed   = "cut"
	Silenced  = "silent"
	Torn      = "torn"
)

// board holds the conditions of all pairs, and what has struck.
type board struct {
	mu     sync.Mutex
	rng    *rand.Rand
	n      int
	now    [][]Conditions
	change chan struct{} // closed and replaced at each change
	struck map[string]int
	trace  *json.Encoder
	begun  time.Time
}

func newBoard(n int, seed int64, trace io.Writer) *board {
	b := &board{rng: rand.New(rand.NewSource(seed)), n: n, struck: map[string]int{}, change: make(chan struct{}), begun: time.Now()}
	for range n {
		b.now = append(b.now, make([]Conditions, n))
	}
	if trace != nil {
		b.trace = json.NewEncoder(trace)
	}
	return b
}

// line is one line of the trace.
type line struct {
	At   float64     `json:"at_s"`
	From int         `json:"from"`
	To   int         `json:"to"`
	What string      `json:"what"`
	Size int         `json:"size,omitempty"`
	Now  *Conditions `json:"now,omitempty"`
}

func (b *board) tell(l line) {
	if b.trace != nil {
		l.At = time.Since(b.begun).Seconds()
		b.trace.Encode(l)
	}
}

// Set has conditions hold from one process to another from now on.
func (b *board) Set(from, to int, c Conditions) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.now[from][to] == c {
		return
	}
	b.now[from][to] = c
	b.tell(line{From: from, To: to, What: "set", Now: &c})
	close(b.change)
	b.change = make(chan struct{})
}

// Get is what holds from one process to another, and a channel that closes when anything changes.
func (b *board) get(from, to int) (Conditions, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now[from][to], b.change
}

// Struck counts the faults that struck, by kind.
func (b *board) Struck() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := map[string]int{}
	for k, n := range b.struck {
		all[k] = n
	}
	return all
}

// fault counts a fault; the caller holds the lock.
func (b *board) fault(from, to int, kind string, size int) {
	b.struck[kind]++
	b.tell(line{From: from, To: to, What: kind, Size: size})
}

func (b *board) hit(from, to int, kind string, size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault(from, to, kind, size)
}

// packet decides what becomes of one: after which spans copies of it arrive; none where it is lost.
func (b *board) packet(from, to, size int) (after []time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.now[from][to]
	switch {
	case c.Cut:
		b.fault(from, to, Severed, size)
		return nil
	case c.Silent:
		b.fault(from, to, Silenced, size)
		return nil
	case c.Loss > 0 && b.rng.Float64() < c.Loss:
		b.fault(from, to, Lost, size)
		return nil
	}
	copies := 1
	if c.Duplicate > 0 && b.rng.Float64() < c.Duplicate {
		b.fault(from, to, Doubled, size)
		copies = 2
	}
	for range copies {
		wait := c.Delay
		if c.Jitter > 0 {
			wait += time.Duration(b.rng.Int63n(int64(c.Jitter)))
		}
		if c.Reorder > 0 && b.rng.Float64() < c.Reorder {
			b.fault(from, to, Reordered, size)
			wait += time.Duration(1+b.rng.Intn(50)) * time.Millisecond
		}
		if c.Delay > 0 || c.Jitter > 0 {
			b.fault(from, to, Delayed, size)
		}
		after = append(after, wait)
	}
	return after
}

// Fault is one thing that goes wrong for a while. From and To name processes; with none, all others are meant.
type Fault struct {
	Kind   string  `toml:"kind" json:"kind"`
	At     float64 `toml:"at_s" json:"at_s"`
	Length float64 `toml:"length_s" json:"length_s"`
	From   []int   `toml:"from" json:"from"`
	To     []int   `toml:"to" json:"to"`
	Size   float64 `toml:"size" json:"size"`
}

// network are the kinds of Fault on the network: what each does with its size, what it is counted as, and whether it holds
// both ways.
var network = map[string]struct {
	make   func(size float64) Conditions
	counts []string
	both   bool
}{
	"cut":       {func(float64) Conditions { return Conditions{Cut: true} }, []string{Severed}, true},
	"one-way":   {func(float64) Conditions { return Conditions{Cut: true} }, []string{Severed}, false},
	"silent":    {func(float64) Conditions { return Conditions{Silent: true} }, []string{Silenced}, true},
	"loss":      {func(s float64) Conditions { return Conditions{Loss: s} }, []string{Lost}, true},
	"slow":      {func(s float64) Conditions { return Conditions{Delay: ms(s), Jitter: ms(s)} }, []string{Delayed}, true},
	"throttle":  {func(s float64) Conditions { return Conditions{Rate: s} }, []string{Throttled}, true},
	"duplicate": {func(s float64) Conditions { return Conditions{Duplicate: s} }, []string{Doubled}, true},
	"reorder":   {func(s float64) Conditions { return Conditions{Reorder: s} }, []string{Reordered}, true},
	"tear":      {func(s float64) Conditions { return Conditions{Tear: int(s)} }, []string{Torn}, true},
	"flap":      {func(float64) Conditions { return Conditions{Cut: true} }, []string{Severed}, true},
}

func ms(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// OnNetwork tells whether a kind of fault is one of the network.
func OnNetwork(kind string) bool { _, ok := network[kind]; return ok }

// pairs are the directed pairs that a fault faults.
func (f Fault) pairs(n int) (all [][2]int) {
	side := func(named, others []int) []int {
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
	for _, a := range side(f.From, f.To) {
		for _, b := range side(f.To, f.From) {
			if a == b || a >= n || b >= n {
				continue
			}
			if all = append(all, [2]int{a, b}); network[f.Kind].both {
				all = append(all, [2]int{b, a})
			}
		}
	}
	return all
}

// Begin has a fault hold, and returns what ends it; that tells whether it struck at all.
func (b *board) Begin(f Fault) (end func() error) {
	what := network[f.Kind]
	before := b.Struck()
	apply := func(on bool) {
		for _, p := range f.pairs(b.n) {
			c := Conditions{}
			if on {
				c = what.make(f.Size)
			}
			b.Set(p[0], p[1], c)
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
		after := b.Struck()
		for _, k := range what.counts {
			if after[k] > before[k] {
				return nil
			}
		}
		return fmt.Errorf("the fault %s at %v s never struck", f.Kind, f.At)
	}
}

// RandomFaults makes so many faults of a seed, one after the other over a length in seconds.
func RandomFaults(seed int64, n, processes int, length float64) (all []Fault) {
	rng := rand.New(rand.NewSource(seed))
	kinds := []string{"cut", "one-way", "silent", "loss", "slow", "duplicate", "reorder", "flap"}
	size := map[string]float64{"loss": 0.3, "slow": 200, "duplicate": 0.5, "reorder": 0.5, "flap": 2}
	for i := range n {
		part := length / float64(n)
		f := Fault{Kind: kinds[rng.Intn(len(kinds))], At: float64(i)*part + 0.1*part, Length: part * (0.4 + 0.4*rng.Float64())}
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
