package soak

import (
	"errors"
	"math/rand"
	"net/netip"
	"reflect"
	"syscall"
	"testing"
	"time"

	"pineport/testbed/scripted"
)

// TestSeedDeterminesPlan checks that a seed always draws the same plan, and that 300 seeds draw every kind of
// fault.
func TestSeedDeterminesPlan(t *testing.T) {
	const length = 12 * time.Second
	drawn := map[string]bool{}
	for seed := range int64(300) {
		plan := drawPlan(rand.New(rand.NewSource(seed)), length)
		if again := drawPlan(rand.New(rand.NewSource(seed)), length); !reflect.DeepEqual(plan, again) {
			t.Fatalf("seed %d drew two plans: %+v, then %+v", seed, plan, again)
		}
		for _, a := range plan.actions {
			drawn[a.name] = true
			if a.at < plan.quietPeriod || a.at > length {
				t.Errorf("seed %d: %s at %v, outside %v to the end of the run", seed, a.name, a.at, plan.quietPeriod)
			}
		}
	}
	// The plans also draw 6 actions other than system call faults.
	if want := len(syscallFaults) + 6; len(drawn) != want {
		t.Errorf("%d of %d kinds of action drawn: %v", len(drawn), want, drawn)
	}
}

// TestJudgeReportsBreaches checks that each kind of breach is reported, and nothing for requests that ended as they should.
func TestJudgeReportsBreaches(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	const call, delivered, notice = scripted.CallReceived, scripted.Delivered, scripted.NoticeReceived
	event := func(kind scripted.EventKind, seconds float64) scripted.Event {
		return scripted.Event{Kind: kind, At: at(seconds)}
	}
	outages := []outage{{from: at(10), until: at(15)}, {from: at(20), until: at(21), killedAt: at(20)}, {from: at(26.4), until: at(31), overdue: true}}
	for _, c := range []struct {
		name    string
		request request
		started int
		notices []string
		events  []scripted.Event
		want    int
	}{
		{"delivered in time", request{id: "order-1", result: accepted}, 1, nil, []scripted.Event{event(call, 0.1), event(delivered, 0.2)}, 0},
		{"notice in time", request{id: "order-1", result: accepted}, 0, []string{"deferred"}, []scripted.Event{event(notice, 1.3)}, 0},
		{"notice late", request{id: "order-1", result: accepted}, 0, []string{"deferred"}, []scripted.Event{event(notice, 1.4)}, 1},
		{"notice late by a restart", request{id: "order-1", sentAt: at(9.5), result: accepted}, 0, []string{"deferred"}, []scripted.Event{event(notice, 16.5)}, 0},
		{"notice late behind a restart", request{id: "order-1", sentAt: at(9.5), result: accepted}, 0, []string{"deferred"}, []scripted.Event{event(notice, 16.6)}, 1},
		{"no end", request{id: "update-1", result: accepted}, 1, nil, []scripted.Event{event(call, 0.1)}, 1},
		{"called after its notice", request{id: "update-1", result: accepted}, 1, []string{"undeliverable"}, []scripted.Event{event(notice, 0.1), event(call, 0.2)}, 1},
		{"called after its rejection", request{id: "update-1", result: rejected, endedAt: at(0.1)}, 1, nil, []scripted.Event{event(call, 0.2)}, 1},
		{"sent twice", request{id: "order-1", result: accepted}, 2, nil, []scripted.Event{event(call, 0.1), event(call, 0.2), event(delivered, 0.2)}, 1},
		{"rejected and called", request{id: "order-1", result: rejected, endedAt: at(0.1)}, 1, nil, []scripted.Event{event(call, 0.1)}, 1},
		{"deferred and called", request{id: "order-1", result: accepted}, 1, []string{"deferred"}, []scripted.Event{event(call, 0.1), event(notice, 0.2)}, 1},
		{"read and closed", request{id: "order-1", result: unanswered, completeSent: true, endedAt: at(0.1)}, 0, nil, nil, 1},
		{"read and closed by an exit", request{id: "order-1", result: unanswered, completeSent: true, endedAt: at(13.4)}, 0, nil, nil, 1},
		{"read and killed", request{id: "order-1", result: unanswered, completeSent: true, endedAt: at(20.1)}, 0, nil, nil, 0},
		{"read and killed as the process had not ended", request{id: "order-1", result: unanswered, completeSent: true, endedAt: at(30.1)}, 0, nil, nil, 1},
		{"reset unread at rest", request{id: "order-1", result: unread, endedAt: at(0.1)}, 0, nil, nil, 0},
		{"new connection reset", request{id: "order-1", result: unread, firstOnConn: true, endedAt: at(0.1)}, 0, nil, nil, 1},
		{"new connection reset by an exit", request{id: "order-1", result: unread, firstOnConn: true, endedAt: at(13.5)}, 0, nil, nil, 0},
		{"half of it read and closed", request{id: "order-1", result: unread, partRead: true, completeSent: true, endedAt: at(0.2)}, 0, nil, nil, 1},
		{"wrong reply", request{id: "order-1", result: wrongReply}, 0, nil, nil, 1},
	} {
		if c.request.timeToLive = time.Second; c.request.sentAt.IsZero() {
			c.request.sentAt = start
		}
		result := &Result{}
		j := &judge{events: func(string) []scripted.Event { return c.events }, notices: func(string) []string { return c.notices }, outages: outages, result: result, start: start}
		j.request(&c.request)
		j.atMostOnce(&c.request, c.started)
		if len(result.Breaches) != c.want {
			t.Errorf("%s: want %d breaches, got %q", c.name, c.want, result.Breaches)
		}
	}
}

// TestHoldUpsLeavePlansUnchanged checks that hold-ups are drawn from a source of their own, in about half of the seeds.
func TestHoldUpsLeavePlansUnchanged(t *testing.T) {
	const length, seeds = 12 * time.Second, 300
	heldUp := 0
	for seed := range int64(seeds) {
		actions := drawHoldUps(rand.New(rand.NewSource(-seed)), time.Second, length)
		heldUp += len(actions)
		for _, a := range actions {
			if a.at < time.Second || a.at+a.duration > length {
				t.Errorf("seed %d: held up from %v for %v", seed, a.at, a.duration)
			}
		}
	}
	if heldUp < seeds/3 || heldUp > 2*seeds/3 {
		t.Errorf("%d of %d seeds have hold-ups", heldUp, seeds)
	}
}

// TestFloodsAreDrawn checks that floods are drawn in about half of the seeds, all kinds of them, within the run.
func TestFloodsAreDrawn(t *testing.T) {
	const length, seeds = 12 * time.Second, 300
	drawn := map[string]int{}
	floods := 0
	for seed := range int64(seeds) {
		for _, a := range drawFloods(rand.New(rand.NewSource(seed^floodSeedMask)), time.Second, length) {
			floods++
			if drawn[a.name]++; !a.isFlood() || a.at < time.Second || a.at > length || a.duration <= 0 {
				t.Errorf("seed %d: %s from %v for %v", seed, a.name, a.at, a.duration)
			}
		}
	}
	if len(drawn) != len(floodKinds) || floods < seeds/3 || floods > 2*seeds/3 {
		t.Errorf("%d of %d seeds have floods: %v", floods, seeds, drawn)
	}
}

// TestUpgradesAreDrawn checks that upgrades are drawn in about half of the seeds, within the run.
func TestUpgradesAreDrawn(t *testing.T) {
	const length, seeds = 12 * time.Second, 300
	upgraded := 0
	for seed := range int64(seeds) {
		actions := drawUpgrades(rand.New(rand.NewSource(seed^upgradeSeedMask)), time.Second, length)
		if len(actions) > 0 {
			upgraded++
		}
		for _, a := range actions {
			if a.at < time.Second || a.at > length {
				t.Errorf("seed %d: upgrade at %v", seed, a.at)
			}
		}
	}
	if upgraded < seeds/3 || upgraded > 2*seeds/3 {
		t.Errorf("%d of %d seeds have upgrades", upgraded, seeds)
	}
}

// TestAddressIsReservedForTheRun guards against a run whose courier loses its port before it listens: its clients were served by the courier
// of another run, and all their messages counted as lost.
func TestAddressIsReservedForTheRun(t *testing.T) {
	r := &run{dir: t.TempDir()}
	if err := r.setUp(1); err != nil {
		t.Fatal(err)
	}
	defer r.close()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	port := int(netip.MustParseAddrPort(r.address).Port())
	// As the kernel does for a socket that asks for any free port, without SO_REUSEADDR.
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}, Port: port}); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("another socket could bind the run's address %s: %v", r.address, err)
	}
}

// TestLowerLimitsAndOutagesAreDrawn checks that every limit is lowered, polls are refused and successors crash in some seeds, within the run.
func TestLowerLimitsAndOutagesAreDrawn(t *testing.T) {
	const length, seeds = 12 * time.Second, 300
	drawn := map[string]int{}
	for seed := range int64(seeds) {
		actions := drawLowerLimit(rand.New(rand.NewSource(seed^limitSeedMask)), time.Second, length)
		actions = append(actions, drawOutageOfPolls(rand.New(rand.NewSource(seed^downSeedMask)), time.Second, length)...)
		actions = append(actions, drawUpgrades(rand.New(rand.NewSource(seed^upgradeSeedMask)), time.Second, length)...)
		for _, a := range actions {
			if drawn[a.name]++; a.at < time.Second || a.at > length {
				t.Errorf("seed %d: %s at %v", seed, a.name, a.at)
			}
		}
	}
	want := []string{actionDown, actionUpgrade, actionCrashedUpgrade}
	for _, limit := range lowerLimits {
		want = append(want, limitNamePrefix+limit.path)
	}
	for _, name := range want {
		if drawn[name] < seeds/20 {
			t.Errorf("%s was drawn %d times in %d seeds", name, drawn[name], seeds)
		}
	}
}
