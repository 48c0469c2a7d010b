package soak

import (
	"math/rand"
	"net/http"
	"reflect"
	"strings"
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
	// The plans also draw 5 actions other than system call faults.
	if want := len(syscallFaults) + 5; len(drawn) != want {
		t.Errorf("%d of %d kinds of action drawn: %v", len(drawn), want, drawn)
	}
}

// TestCheckReportsBreaches checks that these breaches are reported: an accepted message that endpoints
// received twice, a rejected message that an endpoint received, a notice "deferred" although an endpoint
// received the message, and a request without an answer.
func TestCheckReportsBreaches(t *testing.T) {
	status := 200
	standIns, err := scripted.Open(1, func(string) scripted.Response { return scripted.Response{Status: status} })
	if err != nil {
		t.Fatal(err)
	}
	defer standIns.Close()
	call := func(id string) {
		t.Helper()
		request, err := http.NewRequest(http.MethodPost, "http://"+standIns.Endpoints[0]+"/hook", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("X-Call-Id", id)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
	}
	call("order-twice")
	call("order-twice")
	call("order-refused")
	call("order-well")
	status = 500
	call("order-deferred")
	response, err := http.Post("http://"+standIns.Discovery+"/v1/notices", "", strings.NewReader(`{"id":"order-deferred","status":"deferred"}`))
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	r := &run{standIns: standIns}
	r.clients.accepted, r.clients.rejected, r.clients.unanswered = []string{"order-twice", "order-well", "order-deferred"}, []string{"order-refused"}, 1
	res := &Result{}
	r.clients.check(r, res)
	if len(res.Breaches) != 4 || res.Delivered != 2 || res.Notices != 1 {
		t.Errorf("want 4 breaches, 2 messages delivered and 1 notice, got %+v", res)
	}
}
