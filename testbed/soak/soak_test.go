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

// TestPlanIsTheSeeds: a seed draws the same plan each time, and many seeds draw every kind of fault.
func TestPlanIsTheSeeds(t *testing.T) {
	const length = 12 * time.Second
	drawn := map[string]bool{}
	for seed := range int64(300) {
		plan := draw(rand.New(rand.NewSource(seed)), length)
		if again := draw(rand.New(rand.NewSource(seed)), length); !reflect.DeepEqual(plan, again) {
			t.Fatalf("seed %d: %+v, then %+v", seed, plan, again)
		}
		for _, a := range plan.acts {
			drawn[a.what] = true
			if a.at < plan.quiet || a.at > length {
				t.Errorf("seed %d: %s at %v, quiet until %v", seed, a.what, a.at, plan.quiet)
			}
		}
	}
	if want := len(systemFaults) + 5; len(drawn) != want {
		t.Errorf("%d kinds drawn of %d: %v", len(drawn), want, drawn)
	}
}

// TestJudgeSeesBreaches: a message that ran twice, one that was refused and ran, one that was rejected though it may have run, and a request
// without an answer are told.
func TestJudgeSeesBreaches(t *testing.T) {
	status := 200
	world, err := scripted.Open(1, func(string) scripted.Response { return scripted.Response{Status: status} })
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
	call := func(id string) {
		t.Helper()
		request, err := http.NewRequest(http.MethodPost, "http://"+world.Endpoints[0]+"/hook", strings.NewReader("x"))
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
	response, err := http.Post("http://"+world.Discovery+"/v1/notices", "", strings.NewReader(`{"id":"order-deferred","status":"deferred"}`))
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	p := &play{world: world}
	p.clients.accepted, p.clients.rejected, p.clients.unanswered = []string{"order-twice", "order-well", "order-deferred"}, []string{"order-refused"}, 1
	r := &Result{}
	p.clients.judge(p, r)
	if len(r.Breaches) != 4 || r.Delivered != 2 || r.Notices != 1 {
		t.Errorf("%+v", r)
	}
}
