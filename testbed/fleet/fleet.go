// Package fleet runs a fleet of real couriers that know each other through membership. During the run it
// injects network faults between the couriers, kills, pauses and restarts them, polls each courier's view of
// the members, and measures failure detection, convergence and traffic.
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

// Plan is a fleet test: a testbed scenario plus the faults that are injected between and into its couriers.
type Plan struct {
	About    string           `toml:"about"`
	Scenario string           `toml:"day"`      // name of the scenario that supplies destinations, classes and traffic
	Couriers int              `toml:"couriers"` // 0: as many as the scenario has
	Length   float64          `toml:"length_s"`
	Load     float64          `toml:"full_per_s"` // messages per second at full load, for each courier
	Faults   []netfault.Fault `toml:"fault"`
}

// Process faults. A fault affects each courier in Fault.From and begins at Fault.At. Fault.Length is how long
// the courier is paused, or down until its restart. For Roll it is divided among the couriers: each has its
// share of the time to shut down and restart, and stays down for that share, 5 s at most.
const (
	Kill            = "kill"         // killed with SIGKILL and restarted with its state folder
	Pause           = "stop"         // process paused, then resumed
	Roll            = "roll"         // shut down gracefully and restarted, one courier after the other
	LoseIncarnation = "lose-folder"  // killed and restarted without its incarnation file; the rest of its state folder is kept
	OldIncarnation  = "older-folder" // killed and restarted with its incarnation file as it was at the start of the run
	Move            = "move"         // killed and restarted at another address
)

var processFaults = []string{Kill, Pause, Roll, LoseIncarnation, OldIncarnation, Move}

// PlanNames returns the names of the built-in plans.
func PlanNames() []string { return scenario.Names(builtIn) }

// Find returns the built-in plan of that name, or reads the plan file at that path.
func Find(name string) (*Plan, error) {
	content, err := builtIn.ReadFile(path.Join("days", name+".toml"))
	if err != nil {
		if content, err = os.ReadFile(name); err != nil {
			return nil, fmt.Errorf("unknown plan %q: expected one of %s, or a file", name, strings.Join(PlanNames(), ", "))
		}
	}
	p := &Plan{}
	dec := toml.NewDecoder(strings.NewReader(string(content))).DisallowUnknownFields()
	if err := dec.Decode(p); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return p, p.check(name)
}

func (p *Plan) check(name string) error {
	for i, f := range p.Faults {
		switch {
		case !netfault.IsNetworkFault(f.Kind) && !slices.Contains(processFaults, f.Kind):
			return fmt.Errorf("%s: fault.%d.kind: unknown kind %q", name, i, f.Kind)
		case f.At < 0 || f.Length <= 0 || f.At+f.Length > p.Length:
			return fmt.Errorf("%s: fault.%d: expected a time span within the run of %v s, got %v s from %v s", name, i, p.Length, f.Length, f.At)
		case len(f.From) == 0 && !netfault.IsNetworkFault(f.Kind):
			return fmt.Errorf("%s: fault.%d.from: expected the affected couriers", name, i)
		}
	}
	return nil
}

// Options are the settings of a run.
type Options struct {
	Binary        string
	Dir           string
	Seed          int64
	Membership    bool          // whether the couriers form a fleet through membership
	Share         bool          // whether couriers share quotas over membership
	ProbeInterval time.Duration // probe interval of the failure detector; 0: 200 ms, so that failures are detected within a run of 30 s
	Trace         io.Writer     // receives the network trace; nil: no trace
	Log           *slog.Logger
}

// Result is the outcome of a run.
type Result struct {
	Verdict             *invariants.Verdict `json:"verdict"`
	Cost                realtime.Cost       `json:"cost"`
	Couriers            int                 `json:"couriers"`
	FaultCounts         map[string]int      `json:"struck"`                             // how often each kind of network fault took effect
	FaultsWithoutEffect []string            `json:"faults_that_never_struck,omitempty"` // network faults that never took effect and so were not tested
	// FailureDetections and ReturnDetections are the times, in seconds, until a failure or a return of a courier was detected:
	// one for each courier that detected it.
	FailureDetections []float64 `json:"deaths_known_s"`
	ReturnDetections  []float64 `json:"returns_known_s"`
	// FalseFailures counts reported failures of couriers that were up, by the kinds of fault active at the time
	// ("none" without a fault).
	FalseFailures       map[string]int     `json:"deaths_believed_that_were_none"`
	UnderestimatePolls  int                `json:"counted_fewer"`                // polls in which a courier's upper estimate of the fleet size was too low
	Converged           bool               `json:"whole_at_the_end"`             // whether every courier counted all others as alive within 40 s of the last fault
	ConvergenceTime     float64            `json:"whole_after_the_last_fault_s"` // seconds from the end of the last fault until every courier counted all others as alive
	GossipPacketsPerSec float64            `json:"packets_a_second_each"`        // gossip, per courier
	GossipBytesPerSec   float64            `json:"bytes_a_second_each"`          // gossip bytes sent per second and courier
	CourierHours        float64            `json:"process_hours"`                // length of the run in hours, times the number of couriers
	Instance            *scenario.Instance `json:"-"`
	// Quota sharing: leases seen, violations of the lease rules, and the traffic between couriers.
	LeaseCount         int          `json:"loans_seen"`
	LargestLeasedShare float64      `json:"widest_loan"`         // largest sum of one courier's leases for a route, as a multiple of its base share
	LeaseBreaches      []string     `json:"overspent,omitempty"` // violations of the lease rules
	LeaseHistory       LeaseHistory `json:"parts,omitempty"`
	QuotaPacketsPerSec float64      `json:"commons_packets_a_second_each"`
	QuotaBytesPerSec   float64      `json:"commons_bytes_a_second_each"`
}

// LeaseHistory holds the totals of granted and leased quota over time, by destination.
type LeaseHistory map[int32]*LeaseTotals

// LeaseTotals are the totals of one destination. Each value is the sum over all couriers, in proportion to
// the destination's limit; value i belongs to the i-th interval of length invariants.BinLength.
type LeaseTotals struct {
	Granted []float64 `json:"lent"`     // granted to other couriers
	Leased  []float64 `json:"borrowed"` // leased from other couriers
}

// recordTotals records the current grants and leases of all couriers in the time series.
func (r *run) recordTotals(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	bin := int(now.Microseconds() / int64(invariants.BinLength))
	sums := map[int32][2]float64{}
	for _, status := range r.quotaStatuses {
		for _, group := range status.Groups {
			sum := sums[group.Dest]
			sums[group.Dest] = [2]float64{sum[0] + float64(group.Granted)/1e6, sum[1] + float64(group.Leased)/1e6}
		}
	}
	for dest, sum := range sums {
		totals := r.result.LeaseHistory[dest]
		if totals == nil {
			totals = &LeaseTotals{}
			r.result.LeaseHistory[dest] = totals
		}
		for len(totals.Granted) <= bin {
			totals.Granted, totals.Leased = append(totals.Granted, 0), append(totals.Leased, 0)
		}
		totals.Granted[bin], totals.Leased[bin] = sum[0], sum[1]
	}
}

// courierStatus is a courier's answer to GET /peers.
type courierStatus struct {
	Status      string `json:"standing"`
	MinCouriers int    `json:"least"`
	MaxCouriers int    `json:"most"`
	Incarnation uint64 `json:"start"`
	Members     []struct {
		Name        string `json:"name"`
		Incarnation uint64 `json:"start"`
		State       string `json:"state"`
	} `json:"members"`
	Metrics struct {
		Network struct{ PacketsOut, BytesOut int64 } `json:"network"`
	} `json:"figures"`
}

// run is the state of a fleet run in progress.
type run struct {
	plan        *Plan
	options     Options
	couriers    int
	net         *netfault.Net
	adminAddrs  []string
	gossipAddrs []string
	session     *realtime.Session

	mu                  sync.Mutex
	downSince           map[int]time.Time // when each courier that is down was stopped
	restartedAt         map[int]time.Time
	starts              map[int]int       // restarts of each courier
	activeFaults        map[string]int    // number of active faults of each kind
	memberStates        map[[2]int]string // last reported state, by reporting and reported courier
	result              *Result
	statuses            []courierStatus
	leases              invariants.Leases
	quotaStatuses       []exchange.Status
	faultsWithoutEffect []string
}

// Play runs a plan and returns its result.
func Play(ctx context.Context, p *Plan, o Options) (*Result, error) {
	definition, err := scenario.Find(p.Scenario)
	if err != nil {
		return nil, err
	}
	if p.Couriers > 0 {
		definition.Fleet.Couriers = p.Couriers
	}
	if p.Load > 0 {
		definition.Traffic.FullLoadPerSec = p.Load * float64(definition.Fleet.Couriers)
	}
	definition.Length = p.Length
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
	r := &run{plan: p, options: o, couriers: definition.Fleet.Couriers, downSince: map[int]time.Time{}, restartedAt: map[int]time.Time{}, starts: map[int]int{}, activeFaults: map[string]int{},
		memberStates: map[[2]int]string{}, statuses: make([]courierStatus, definition.Fleet.Couriers), quotaStatuses: make([]exchange.Status, definition.Fleet.Couriers), result: &Result{Couriers: definition.Fleet.Couriers, FalseFailures: map[string]int{}, LeaseHistory: LeaseHistory{}}}
	if err := r.addresses(); err != nil {
		return nil, err
	}
	if r.net, err = netfault.Open(o.Seed, r.gossipAddrs, o.Trace); err != nil {
		return nil, err
	}
	defer r.net.Close()
	realtimeOptions := realtime.Options{Binary: o.Binary, Dir: o.Dir, Log: o.Log, OnStart: r.start}
	if o.Membership {
		realtimeOptions.ExtraConfiguration = r.configure
	}
	r.result.Instance = scenario.Draw(definition, o.Seed)
	v, cost, err := realtime.Play(ctx, r.result.Instance, realtimeOptions)
	if err != nil {
		return nil, err
	}
	r.result.Verdict, r.result.Cost, r.result.FaultCounts, r.result.FaultsWithoutEffect = v, cost, r.net.FaultCounts(), r.faultsWithoutEffect
	return r.result, nil
}

// addresses reserves an administration address and a gossip address for each courier.
func (r *run) addresses() error {
	for i := range r.couriers {
		for _, addrs := range []*[]string{&r.adminAddrs, &r.gossipAddrs} {
			addr, err := FreeLoopbackAddr(i)
			if err != nil {
				return err
			}
			*addrs = append(*addrs, addr)
		}
	}
	return nil
}

// FreeLoopbackAddr returns a loopback address whose port is free for both UDP and TCP. Its IP address is derived from the
// process ID and i, to avoid collisions with other test processes.
func FreeLoopbackAddr(i int) (string, error) {
	ip := net.IPv4(127, byte(140+(os.Getpid()>>8)%50), byte(os.Getpid()), byte(1+i%250))
	for range 20 {
		listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip})
		if err != nil {
			return "", err
		}
		at := listener.Addr().(*net.TCPAddr)
		udpConn, err := net.ListenUDP("udp", &net.UDPAddr{IP: ip, Port: at.Port})
		listener.Close()
		if err == nil {
			udpConn.Close()
			return at.String(), nil
		}
	}
	return "", fmt.Errorf("no free port for both UDP and TCP")
}

// configure returns a courier's settings for its administration address and for membership. The courier joins
// through the first courier, the next one, and the one half of the fleet further.
func (r *run) configure(c *process.Courier) (map[string]any, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	join := []string{r.gossipAddrs[0], r.gossipAddrs[(c.Number+1)%r.couriers], r.gossipAddrs[(c.Number+r.couriers/2)%r.couriers]}
	return map[string]any{"ops": r.adminAddrs[c.Number], "peers": map[string]any{"listen": r.gossipAddrs[c.Number], "join": join, "fleet": "lab",
		"key": "000102030405060708090a0b0c0d0e0f", "pace_s": r.options.ProbeInterval.Seconds(), "share": r.options.Share, "through": r.net.AddressPairs(c.Number)},
		"settings": map[string]any{"ceilings": map[string]any{"peers": true}}}, nil
}

// start starts the faults and the polling. The returned function waits for the faults and for convergence,
// stops the polling, and completes the result.
func (r *run) start(session *realtime.Session) func() {
	r.session = session
	incarnations := r.readIncarnations()
	stop := make(chan struct{})
	var all sync.WaitGroup
	for _, fault := range r.plan.Faults {
		all.Add(1)
		go func() {
			defer all.Done()
			r.injectFault(fault, stop, incarnations)
		}()
	}
	pollingDone := make(chan struct{})
	if r.options.Membership {
		go r.pollCouriers(stop, pollingDone)
	} else {
		close(pollingDone)
	}
	return func() {
		all.Wait()
		if r.options.Membership {
			r.awaitConvergence()
		}
		close(stop)
		<-pollingDone
		r.summarize(session)
	}
}

// readIncarnations returns each courier's incarnation file as it is at the start of the run, for the fault
// OldIncarnation.
func (r *run) readIncarnations() map[int][]byte {
	incarnations := map[int][]byte{}
	for _, c := range r.session.Couriers() {
		if content, err := os.ReadFile(filepath.Join(c.Dir, "state", incarnation.FileName)); err == nil {
			incarnations[c.Number] = content
		}
	}
	return incarnations
}

func (r *run) injectFault(f netfault.Fault, stop <-chan struct{}, incarnations map[int][]byte) {
	wait := func(until float64) {
		select {
		case <-time.After(time.Duration(until*float64(time.Second)) - r.session.Elapsed()):
		case <-stop:
		}
	}
	wait(f.At)
	r.adjustActive(f.Kind, 1)
	defer func() { // the fault stays marked as active for 25 probe intervals more, since its effects are detected with a delay
		time.AfterFunc(25*r.options.ProbeInterval, func() { r.adjustActive(f.Kind, -1) })
	}()
	if netfault.IsNetworkFault(f.Kind) {
		end := r.net.Begin(f)
		wait(f.At + f.Length)
		if err := end(); err != nil && r.options.Membership {
			r.mu.Lock()
			r.faultsWithoutEffect = append(r.faultsWithoutEffect, err.Error())
			r.mu.Unlock()
		}
		return
	}
	var all sync.WaitGroup
	for i, index := range f.From {
		all.Add(1)
		go func() {
			defer all.Done()
			if f.Kind == Roll {
				slot := f.Length / float64(len(f.From))
				wait(f.At + float64(i)*slot)
				r.restartCourier(index, scenario.CourierStopRequested, min(slot, 5), stop, nil)
				return
			}
			r.injectProcessFault(f, index, stop, incarnations)
		}()
	}
	all.Wait()
}

func (r *run) injectProcessFault(f netfault.Fault, index int, stop <-chan struct{}, incarnations map[int][]byte) {
	c := r.session.Couriers()[index]
	state := filepath.Join(c.Dir, "state")
	switch f.Kind {
	case Pause:
		r.session.ApplyAct(scenario.Event{Kind: scenario.CourierPaused, Courier: index, Duration: dispatch.Micros(f.Length * 1e6)})
		time.Sleep(time.Duration(f.Length * float64(time.Second)))
	case Kill:
		r.restartCourier(index, scenario.CourierKilled, f.Length, stop, nil)
	case LoseIncarnation:
		r.restartCourier(index, scenario.CourierKilled, f.Length, stop, func() { os.Remove(filepath.Join(state, incarnation.FileName)) })
	case OldIncarnation:
		r.restartCourier(index, scenario.CourierKilled, f.Length, stop, func() {
			if content := incarnations[index]; content != nil {
				os.WriteFile(filepath.Join(state, incarnation.FileName), content, 0o600)
			}
		})
	case Move:
		r.restartCourier(index, scenario.CourierKilled, f.Length, stop, func() {
			if addr, err := FreeLoopbackAddr(index); err == nil {
				r.mu.Lock()
				r.gossipAddrs[index] = addr
				r.mu.Unlock()
				r.net.SetTarget(index, addr)
			}
		})
	}
}

// restartCourier kills a courier (scenario.CourierKilled) or shuts it down gracefully (scenario.CourierStopRequested), calls
// whileDown once it is down, and restarts it after a number of seconds.
func (r *run) restartCourier(index int, kind scenario.EventKind, seconds float64, stop <-chan struct{}, whileDown func()) {
	r.mu.Lock()
	r.downSince[index] = time.Now()
	r.mu.Unlock()
	r.session.ApplyAct(scenario.Event{Kind: kind, Courier: index})
	if kind == scenario.CourierStopRequested { // a graceful shutdown takes some seconds
		c := r.session.Couriers()[index]
		for c.Running() {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	if whileDown != nil {
		whileDown()
	}
	select {
	case <-time.After(time.Duration(seconds * float64(time.Second))):
	case <-stop:
	}
	r.mu.Lock()
	r.starts[index]++
	r.mu.Unlock()
	r.session.ApplyAct(scenario.Event{Kind: scenario.CourierStarted, Courier: index})
	r.mu.Lock()
	delete(r.downSince, index)
	r.restartedAt[index] = time.Now()
	r.mu.Unlock()
}

func (r *run) adjustActive(kind string, by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeFaults[kind] += by
}

// poll reads a courier's view of the members and, with shared quotas, its grants and leases.
func (r *run) poll(client *http.Client, index int) (status courierStatus, ok bool) {
	if ok = get(client, r.adminAddrs[index], "/peers", &status); ok && r.options.Share {
		var quotaStatus exchange.Status
		pollStart := r.session.Elapsed()
		if get(client, r.adminAddrs[index], "/commons", &quotaStatus) {
			r.recordLeases(index, pollStart, r.session.Elapsed(), quotaStatus)
		}
	}
	return status, ok
}

func get(client *http.Client, addr, path string, to any) bool {
	reply, err := client.Get("http://" + addr + path)
	if err != nil {
		return false
	}
	defer reply.Body.Close()
	return reply.StatusCode == http.StatusOK && json.NewDecoder(reply.Body).Decode(to) == nil
}

// recordLeases checks the grants and leases that a courier reported in a poll from pollStart to pollEnd
// against the reports of other couriers: a lease must have been granted, and must end before its grantor uses
// that quota again.
func (r *run) recordLeases(index int, pollStart, pollEnd time.Duration, status exchange.Status) {
	leases := func(selectLeases func(quota.Status) []quota.LeaseStatus) (all [][]invariants.Lease) {
		for _, group := range status.Groups {
			var routeLeases []invariants.Lease
			for _, lease := range selectLeases(group) {
				routeLeases = append(routeLeases, invariants.Lease{Peer: lease.Courier, ID: lease.LeaseID, Units: int64(lease.Units), Base: int64(group.Base)})
			}
			all = append(all, routeLeases)
		}
		return all
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quotaStatuses[index] = status
	r.leases.Observe(invariants.Observation{Name: fmt.Sprintf("n%d", index), Incarnation: status.Incarnation, From: dispatch.Micros(pollStart.Microseconds()), To: dispatch.Micros(pollEnd.Microseconds()),
		Granted: leases(func(l quota.Status) []quota.LeaseStatus { return l.Grants }), Used: leases(func(l quota.Status) []quota.LeaseStatus { return l.Leases })})
}

// pollCouriers polls all couriers every 100 ms and records what changed, until stop is closed.
func (r *run) pollCouriers(stop <-chan struct{}, pollingDone chan<- struct{}) {
	defer close(pollingDone)
	client := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		var all sync.WaitGroup
		statuses := make([]courierStatus, r.couriers)
		ok := make([]bool, r.couriers)
		for i := range r.couriers {
			all.Add(1)
			go func() {
				defer all.Done()
				statuses[i], ok[i] = r.poll(client, i)
			}()
		}
		all.Wait()
		now := time.Now()
		if r.options.Share {
			r.recordTotals(r.session.Elapsed())
		}
		for i := range r.couriers {
			if ok[i] {
				r.recordStatus(now, i, statuses[i])
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// recordStatus records the changes of member states that a courier reports. A reported failure counts as
// false if the courier is up and did not restart within the last 15 probe intervals. A return counts if it is
// reported within 30 s of the restart.
func (r *run) recordStatus(now time.Time, index int, status courierStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[index] = status
	if status.MaxCouriers < r.couriers {
		r.result.UnderestimatePolls++
	}
	for _, m := range status.Members {
		var other int
		if _, err := fmt.Sscanf(m.Name, "n%d", &other); err != nil || other >= r.couriers {
			continue
		}
		key := [2]int{index, other}
		previous := r.memberStates[key]
		if r.memberStates[key] = m.State; previous == m.State {
			continue
		}
		reportedDown := m.State == "failed" || m.State == "left"
		since, isDown := r.downSince[other]
		switch {
		case reportedDown && isDown && previous == "alive" || reportedDown && isDown && previous == "suspected":
			r.result.FailureDetections = append(r.result.FailureDetections, now.Sub(since).Seconds())
		case m.State == "failed" && !isDown && now.Sub(r.restartedAt[other]) > 15*r.options.ProbeInterval:
			r.result.FalseFailures[r.activeKinds()]++
		case m.State == "alive" && (previous == "failed" || previous == "left") && !isDown && !r.restartedAt[other].IsZero() && now.Sub(r.restartedAt[other]) < 30*time.Second:
			r.result.ReturnDetections = append(r.result.ReturnDetections, now.Sub(r.restartedAt[other]).Seconds())
		}
	}
}

// activeKinds returns the kinds of the active faults, joined by "+". The caller holds the lock.
func (r *run) activeKinds() string {
	var all []string
	for k, n := range r.activeFaults {
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

// convergenceTimeout limits the wait for all couriers to agree on the full fleet after the last fault.
const convergenceTimeout = 40 * time.Second

// awaitConvergence waits until every courier reports that all couriers are alive.
func (r *run) awaitConvergence() {
	for started := time.Now(); time.Since(started) < convergenceTimeout; time.Sleep(50 * time.Millisecond) {
		r.mu.Lock()
		converged := 0
		for _, status := range r.statuses {
			if status.Status == "whole" && status.MinCouriers >= r.couriers {
				converged++
			}
		}
		r.mu.Unlock()
		if converged == r.couriers {
			r.result.Converged, r.result.ConvergenceTime = true, time.Since(started).Seconds()
			return
		}
	}
}

func (r *run) summarize(session *realtime.Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.CourierHours = session.Elapsed().Hours() * float64(r.couriers)
	seconds := session.Elapsed().Seconds() * float64(r.couriers)
	for _, status := range r.statuses { // counters of each courier's last incarnation; packets sent before a restart are not counted
		r.result.GossipPacketsPerSec += float64(status.Metrics.Network.PacketsOut) / seconds
		r.result.GossipBytesPerSec += float64(status.Metrics.Network.BytesOut) / seconds
	}
	r.result.LeaseCount, r.result.LargestLeasedShare, r.result.LeaseBreaches = r.leases.LeaseCount, r.leases.MaxLeasedShare, r.leases.Breaches
	for _, status := range r.quotaStatuses {
		r.result.QuotaPacketsPerSec += float64(status.PacketsOut) / seconds
		r.result.QuotaBytesPerSec += float64(status.BytesOut) / seconds
	}
}
