// Package fleet plays a day with many real couriers that know each other, while the network between them fails and they are
// killed, stopped and restarted: it brings up the rig, watches what each believes of the others, and measures.
package fleet

import (
	"context"
	"embed"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"

	"pineport/dispatch"
	"pineport/membership/incarnation"
	"pineport/quota"
	"pineport/quota/exchange"
	"pineport/testbed/invariants"
	"pineport/testbed/netfault"
	"pineport/testbed/process"
	"pineport/testbed/realtime"
	"pineport/testbed/scenario"
)

//go:embed days/*.toml
var builtIn embed.FS

// Plan is a fleet's day: a day of the testbed, and what goes wrong between the couriers besides.
type Plan struct {
	About    string           `toml:"about"`
	Scenario string           `toml:"day"`      // whose destinations, classes and traffic it takes
	Couriers int              `toml:"couriers"` // 0: the day's own
	Length   float64          `toml:"length_s"`
	Load     float64          `toml:"full_per_s"` // messages a second at full load, for each courier
	Faults   []netfault.Fault `toml:"fault"`
}

// Process faults, beside those of the network: what happens to each courier named, At, for Length.
const (
	Kill    = "kill"         // killed outright, and started again with its folder
	Stop    = "stop"         // stands still
	Roll    = "roll"         // asked to end one after the other, and started again
	Empty   = "lose-folder"  // killed, and started again without its folder
	Older   = "older-folder" // killed, and started again with its folder as it was at the beginning
	Address = "move"         // killed, and started again at another address
)

var processFaults = []string{Kill, Stop, Roll, Empty, Older, Address}

// PlanNames lists the plans that come with the testbed.
func PlanNames() []string { return scenario.Names(builtIn) }

// Find reads a plan that comes with the testbed, or else a file.
func Find(name string) (*Plan, error) {
	text, err := builtIn.ReadFile(path.Join("days", name+".toml"))
	if err != nil {
		if text, err = os.ReadFile(name); err != nil {
			return nil, fmt.Errorf("no fleet's day has the name %q; there are %s, and files", name, strings.Join(PlanNames(), ", "))
		}
	}
	p := &Plan{}
	dec := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
	if err := dec.Decode(p); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return p, p.check(name)
}

func (p *Plan) check(name string) error {
	for i, f := range p.Faults {
		switch {
		case !netfault.OnNetwork(f.Kind) && !slices.Contains(processFaults, f.Kind):
			return fmt.Errorf("%s: fault.%d.kind: no fault has the name %q", name, i, f.Kind)
		case f.At < 0 || f.Length <= 0 || f.At+f.Length > p.Length:
			return fmt.Errorf("%s: fault.%d: a span within the day's %v s was expected, not %v s from %v s", name, i, p.Length, f.Length, f.At)
		case len(f.From) == 0 && !netfault.OnNetwork(f.Kind):
			return fmt.Errorf("%s: fault.%d.from: the couriers that it affects were expected", name, i)
		}
	}
	return nil
}

// Options are how it is played.
type Options struct {
	Binary        string
	Dir           string
	Seed          int64
	Membership    bool          // membership on
	Share         bool          // limits are shared over it
	ProbeInterval time.Duration // of the detector; 0: 200 ms, so that a day of half a minute shows it
	Trace         io.Writer     // of the network; nil: none
	Log           *slog.Logger
}

// Result is what came of it.
type Result struct {
	Verdict             *invariants.Verdict `json:"verdict"`
	Cost                realtime.Cost       `json:"cost"`
	Couriers            int                 `json:"couriers"`
	FaultCounts         map[string]int      `json:"struck"`
	FaultsWithoutEffect []string            `json:"faults_that_never_struck,omitempty"`
	// Known are spans in seconds, one for each courier that came to know: of a death, and of a return.
	FailureDetections []float64 `json:"deaths_known_s"`
	ReturnDetections  []float64 `json:"returns_known_s"`
	// FalseFailures counts deaths believed while the courier was up, by kind of fault that was on (none: no fault).
	FalseFailures       map[string]int     `json:"deaths_believed_that_were_none"`
	UnderestimatePolls  int                `json:"counted_fewer"` // looks at which a courier counted on fewer than there are
	Converged           bool               `json:"whole_at_the_end"`
	ConvergenceTime     float64            `json:"whole_after_the_last_fault_s"`
	GossipPacketsPerSec float64            `json:"packets_a_second_each"`
	GossipBytesPerSec   float64            `json:"bytes_a_second_each"`
	CourierHours        float64            `json:"process_hours"`
	Instance            *scenario.Instance `json:"-"`
	// Of what couriers share: leases that were seen, what was wrong with them, and what was heard.
	LeaseCount         int          `json:"loans_seen"`
	LargestLeasedShare float64      `json:"widest_loan"` // of a base part
	LeaseBreaches      []string     `json:"overspent,omitempty"`
	LeaseHistory       LeaseHistory `json:"parts,omitempty"`
	QuotaPacketsPerSec float64      `json:"commons_packets_a_second_each"`
	QuotaBytesPerSec   float64      `json:"commons_bytes_a_second_each"`
}

// LeaseHistory is what of each limit was granted and leased over time, as shares of it summed over couriers, by destination and invariants.BinLength.
type LeaseHistory map[int32]*LeaseTotals

// LeaseTotals is one destination's.
type LeaseTotals struct {
	Granted []float64 `json:"lent"`
	Leased  []float64 `json:"borrowed"`
}

// total books what stands at an instant.
func (r *rig) total(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	bin := int(now.Microseconds() / int64(invariants.BinLength))
	sums := map[int32][2]float64{}
	for _, s := range r.shared {
		for _, l := range s.Groups {
			sum := sums[l.Dest]
			sums[l.Dest] = [2]float64{sum[0] + float64(l.Granted)/1e6, sum[1] + float64(l.Leased)/1e6}
		}
	}
	for dest, sum := range sums {
		leases := r.res.LeaseHistory[dest]
		if leases == nil {
			leases = &LeaseTotals{}
			r.res.LeaseHistory[dest] = leases
		}
		for len(leases.Granted) <= bin {
			leases.Granted, leases.Leased = append(leases.Granted, 0), append(leases.Leased, 0)
		}
		leases.Granted[bin], leases.Leased[bin] = sum[0], sum[1]
	}
}

// look is what a courier says of its fleet.
type look struct {
	Status  string `json:"standing"`
	Least   int    `json:"least"`
	Most    int    `json:"most"`
	Start   uint64 `json:"start"`
	Members []struct {
		Name  string `json:"name"`
		Start uint64 `json:"start"`
		State string `json:"state"`
	} `json:"members"`
	Figures struct {
		Network struct{ PacketsOut, BytesOut int64 } `json:"network"`
	} `json:"figures"`
}

// rig is a day under way.
type rig struct {
	plan   *Plan
	o      Options
	n      int
	net    *netfault.Net
	ops    []string
	gossip []string
	field  *realtime.Session

	mu     sync.Mutex
	down   map[int]time.Time // since when a courier is away
	back   map[int]time.Time
	starts map[int]int
	on     map[string]int // faults that are on
	saw    map[[2]int]string
	res    *Result
	looks  []look
	leases invariants.Leases
	shared []exchange.Status
	idle   []string
}

// Play plays a plan.
func Play(ctx context.Context, p *Plan, o Options) (*Result, error) {
	d, err := scenario.Find(p.Scenario)
	if err != nil {
		return nil, err
	}
	if p.Couriers > 0 {
		d.Fleet.Couriers = p.Couriers
	}
	if p.Load > 0 {
		d.Traffic.FullLoadPerSec = p.Load * float64(d.Fleet.Couriers)
	}
	d.Length = p.Length
	if o.ProbeInterval == 0 {
		o.ProbeInterval = 200 * time.Millisecond
	}
	if o.Dir == "" {
		dir, err := os.MkdirTemp("", "pineport-testbed-fleet-")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		o.Dir = dir
	}
	r := &rig{plan: p, o: o, n: d.Fleet.Couriers, down: map[int]time.Time{}, back: map[int]time.Time{}, starts: map[int]int{}, on: map[string]int{},
		saw: map[[2]int]string{}, looks: make([]look, d.Fleet.Couriers), shared: make([]exchange.Status, d.Fleet.Couriers), res: &Result{Couriers: d.Fleet.Couriers, FalseFailures: map[string]int{}, LeaseHistory: LeaseHistory{}}}
	if err := r.addresses(); err != nil {
		return nil, err
	}
	if r.net, err = netfault.Open(o.Seed, r.gossip, o.Trace); err != nil {
		return nil, err
	}
	defer r.net.Close()
	lo := realtime.Options{Binary: o.Binary, Dir: o.Dir, Log: o.Log, OnStart: r.begun}
	if o.Membership {
		lo.ExtraConfiguration = r.configure
	}
	r.res.Instance = scenario.Draw(d, o.Seed)
	v, cost, err := realtime.Play(ctx, r.res.Instance, lo)
	if err != nil {
		return nil, err
	}
	r.res.Verdict, r.res.Cost, r.res.FaultCounts, r.res.FaultsWithoutEffect = v, cost, r.net.Struck(), r.idle
	return r.res, nil
}

// addresses finds, for each courier, one for operators and one for its fleet.
func (r *rig) addresses() error {
	for i := range r.n {
		for _, list := range []*[]string{&r.ops, &r.gossip} {
			at, err := FreeLoopbackAddr(i)
			if err != nil {
				return err
			}
			*list = append(*list, at)
		}
	}
	return nil
}

// FreeLoopbackAddr is an address of the rig's own that nobody uses, over UDP and TCP.
func FreeLoopbackAddr(i int) (string, error) {
	ip := net.IPv4(127, byte(140+(os.Getpid()>>8)%50), byte(os.Getpid()), byte(1+i%250))
	for range 20 {
		l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip})
		if err != nil {
			return "", err
		}
		at := l.Addr().(*net.TCPAddr)
		u, err := net.ListenUDP("udp", &net.UDPAddr{IP: ip, Port: at.Port})
		l.Close()
		if err == nil {
			u.Close()
			return at.String(), nil
		}
	}
	return "", fmt.Errorf("no address free for both UDP and TCP")
}

func (r *rig) configure(c *process.Courier) (map[string]any, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	join := []string{r.gossip[0], r.gossip[(c.Number+1)%r.n], r.gossip[(c.Number+r.n/2)%r.n]}
	return map[string]any{"ops": r.ops[c.Number], "peers": map[string]any{"listen": r.gossip[c.Number], "join": join, "fleet": "lab",
		"key": "000102030405060708090a0b0c0d0e0f", "pace_s": r.o.ProbeInterval.Seconds(), "share": r.o.Share, "through": r.net.Through(c.Number)},
		"settings": map[string]any{"ceilings": map[string]any{"peers": true}}}, nil
}

// begun has the faults happen and watches, until the day is over.
func (r *rig) begun(f *realtime.Session) func() {
	r.field = f
	keep := r.copies()
	stop := make(chan struct{})
	var all sync.WaitGroup
	for _, fault := range r.plan.Faults {
		all.Add(1)
		go func() {
			defer all.Done()
			r.fault(fault, stop, keep)
		}()
	}
	watched := make(chan struct{})
	if r.o.Membership {
		go r.watch(stop, watched)
	} else {
		close(watched)
	}
	return func() {
		all.Wait()
		if r.o.Membership {
			r.heal()
		}
		close(stop)
		<-watched
		r.sum(f)
	}
}

// copies keeps each folder's start number as it is at the beginning, for restarts from an older copy.
func (r *rig) copies() map[int][]byte {
	keep := map[int][]byte{}
	for _, c := range r.field.Couriers() {
		if text, err := os.ReadFile(filepath.Join(c.Dir, "state", incarnation.FileName)); err == nil {
			keep[c.Number] = text
		}
	}
	return keep
}

func (r *rig) fault(f netfault.Fault, stop <-chan struct{}, keep map[int][]byte) {
	wait := func(until float64) {
		select {
		case <-time.After(time.Duration(until*float64(time.Second)) - r.field.Elapsed()):
		case <-stop:
		}
	}
	wait(f.At)
	r.mark(f.Kind, 1)
	defer func() { // what was believed while it was on comes to light a little later
		time.AfterFunc(25*r.o.ProbeInterval, func() { r.mark(f.Kind, -1) })
	}()
	if netfault.OnNetwork(f.Kind) {
		end := r.net.Begin(f)
		wait(f.At + f.Length)
		if err := end(); err != nil && r.o.Membership {
			r.mu.Lock()
			r.idle = append(r.idle, err.Error())
			r.mu.Unlock()
		}
		return
	}
	var all sync.WaitGroup
	for i, no := range f.From {
		all.Add(1)
		go func() {
			defer all.Done()
			if f.Kind == Roll {
				part := f.Length / float64(len(f.From))
				wait(f.At + float64(i)*part)
				r.away(no, scenario.CourierStopRequested, min(part, 5), stop, nil)
				return
			}
			r.process(f, no, stop, keep)
		}()
	}
	all.Wait()
}

func (r *rig) process(f netfault.Fault, no int, stop <-chan struct{}, keep map[int][]byte) {
	c := r.field.Couriers()[no]
	state := filepath.Join(c.Dir, "state")
	switch f.Kind {
	case Stop:
		r.field.ApplyAct(scenario.Event{Kind: scenario.CourierPaused, Courier: no, Duration: dispatch.Micros(f.Length * 1e6)})
		time.Sleep(time.Duration(f.Length * float64(time.Second)))
	case Kill:
		r.away(no, scenario.CourierKilled, f.Length, stop, nil)
	case Empty:
		r.away(no, scenario.CourierKilled, f.Length, stop, func() { os.Remove(filepath.Join(state, incarnation.FileName)) })
	case Older:
		r.away(no, scenario.CourierKilled, f.Length, stop, func() {
			if text := keep[no]; text != nil {
				os.WriteFile(filepath.Join(state, incarnation.FileName), text, 0o600)
			}
		})
	case Address:
		r.away(no, scenario.CourierKilled, f.Length, stop, func() {
			if at, err := FreeLoopbackAddr(no); err == nil {
				r.mu.Lock()
				r.gossip[no] = at
				r.mu.Unlock()
				r.net.Moved(no, at)
			}
		})
	}
}

// away takes a courier down for a while and starts it again, after what is done to its folder.
func (r *rig) away(no int, how scenario.EventKind, span float64, stop <-chan struct{}, meanwhile func()) {
	r.mu.Lock()
	r.down[no] = time.Now()
	r.mu.Unlock()
	r.field.ApplyAct(scenario.Event{Kind: how, Courier: no})
	if how == scenario.CourierStopRequested { // it goes on for some seconds
		c := r.field.Couriers()[no]
		for c.Running() {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	if meanwhile != nil {
		meanwhile()
	}
	select {
	case <-time.After(time.Duration(span * float64(time.Second))):
	case <-stop:
	}
	r.mu.Lock()
	r.starts[no]++
	r.mu.Unlock()
	r.field.ApplyAct(scenario.Event{Kind: scenario.CourierStarted, Courier: no})
	r.mu.Lock()
	delete(r.down, no)
	r.back[no] = time.Now()
	r.mu.Unlock()
}

func (r *rig) mark(kind string, by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.on[kind] += by
}

// see asks a courier what it believes, and what it has granted and leased.
func (r *rig) see(client *http.Client, no int) (l look, ok bool) {
	if ok = get(client, r.ops[no], "/peers", &l); ok && r.o.Share {
		var s exchange.Status
		from := r.field.Elapsed()
		if get(client, r.ops[no], "/commons", &s) {
			r.borrow(no, from, r.field.Elapsed(), s)
		}
	}
	return l, ok
}

func get(client *http.Client, addr, path string, to any) bool {
	reply, err := client.Get("http://" + addr + path)
	if err != nil {
		return false
	}
	defer reply.Body.Close()
	return reply.StatusCode == http.StatusOK && json.NewDecoder(reply.Body).Decode(to) == nil
}

// borrow holds what a courier shows of its leases against what the others show.
func (r *rig) borrow(no int, from, to time.Duration, s exchange.Status) {
	leases := func(of func(quota.Status) []quota.LeaseStatus) (all [][]invariants.Lease) {
		for _, line := range s.Groups {
			var route []invariants.Lease
			for _, lease := range of(line) {
				route = append(route, invariants.Lease{Peer: lease.Courier, ID: lease.LeaseID, Units: int64(lease.Units), Base: int64(line.Base)})
			}
			all = append(all, route)
		}
		return all
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shared[no] = s
	r.leases.Observe(invariants.Observation{Name: fmt.Sprintf("n%d", no), Incarnation: s.Incarnation, From: dispatch.Micros(from.Microseconds()), To: dispatch.Micros(to.Microseconds()),
		Granted: leases(func(l quota.Status) []quota.LeaseStatus { return l.Grants }), Used: leases(func(l quota.Status) []quota.LeaseStatus { return l.Leases })})
}

// watch looks at every courier again and again, and books what changed.
func (r *rig) watch(stop <-chan struct{}, watched chan<- struct{}) {
	defer close(watched)
	client := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		var all sync.WaitGroup
		got := make([]look, r.n)
		ok := make([]bool, r.n)
		for i := range r.n {
			all.Add(1)
			go func() {
				defer all.Done()
				got[i], ok[i] = r.see(client, i)
			}()
		}
		all.Wait()
		now := time.Now()
		if r.o.Share {
			r.total(r.field.Elapsed())
		}
		for i := range r.n {
			if ok[i] {
				r.book(now, i, got[i])
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (r *rig) book(now time.Time, no int, l look) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.looks[no] = l
	if l.Most < r.n {
		r.res.UnderestimatePolls++
	}
	for _, m := range l.Members {
		var other int
		if _, err := fmt.Sscanf(m.Name, "n%d", &other); err != nil || other >= r.n {
			continue
		}
		key := [2]int{no, other}
		was := r.saw[key]
		if r.saw[key] = m.State; was == m.State {
			continue
		}
		gone := m.State == "failed" || m.State == "left"
		since, down := r.down[other]
		switch {
		case gone && down && was == "alive" || gone && down && was == "suspected":
			r.res.FailureDetections = append(r.res.FailureDetections, now.Sub(since).Seconds())
		case m.State == "failed" && !down && now.Sub(r.back[other]) > 15*r.o.ProbeInterval:
			r.res.FalseFailures[r.kinds()]++
		case m.State == "alive" && (was == "failed" || was == "left") && !down && !r.back[other].IsZero() && now.Sub(r.back[other]) < 30*time.Second:
			r.res.ReturnDetections = append(r.res.ReturnDetections, now.Sub(r.back[other]).Seconds())
		}
	}
}

// kinds are the faults that are on; the caller holds the lock.
func (r *rig) kinds() string {
	var all []string
	for k, n := range r.on {
		if n > 0 {
			all = append(all, k)
		}
	}
	slices.Sort(all)
	if len(all) == 0 {
		return "none"
	}
	return strings.Join(all, "+")
}

// healWithin bounds the wait for a whole fleet after the last fault.
const healWithin = 40 * time.Second

// heal waits until all couriers know of all.
func (r *rig) heal() {
	for begun := time.Now(); time.Since(begun) < healWithin; time.Sleep(50 * time.Millisecond) {
		r.mu.Lock()
		whole := 0
		for _, l := range r.looks {
			if l.Status == "whole" && l.Least >= r.n {
				whole++
			}
		}
		r.mu.Unlock()
		if whole == r.n {
			r.res.Converged, r.res.ConvergenceTime = true, time.Since(begun).Seconds()
			return
		}
	}
}

func (r *rig) sum(f *realtime.Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.CourierHours = f.Elapsed().Hours() * float64(r.n)
	seconds := f.Elapsed().Seconds() * float64(r.n)
	for _, l := range r.looks { // of the last start of each: what an earlier one sent is not counted
		r.res.GossipPacketsPerSec += float64(l.Figures.Network.PacketsOut) / seconds
		r.res.GossipBytesPerSec += float64(l.Figures.Network.BytesOut) / seconds
	}
	r.res.LeaseCount, r.res.LargestLeasedShare, r.res.LeaseBreaches = r.leases.LeaseCount, r.leases.MaxLeasedShare, r.leases.Breaches
	for _, s := range r.shared {
		r.res.QuotaPacketsPerSec += float64(s.PacketsOut) / seconds
		r.res.QuotaBytesPerSec += float64(s.BytesOut) / seconds
	}
}
