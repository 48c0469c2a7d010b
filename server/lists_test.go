package server

import (
	"bytes"
	"fmt"
	"testing"

	"pineport/dispatch"
	"pineport/protocol"
	"pineport/server/endpointconn"
	"pineport/testbed/scripted"
)

// drainList is a list as discovery writes it, in which s-0 drains, or is gone.
func drainList(world *scripted.World, health string, whole bool) []byte {
	entry := func(i int, health string) string {
		return fmt.Sprintf(`{"host":"s-%d","dial":%q,"site":"a","class":"plain","block":1,"health":%q,"share":50.0,"born_ms":0}`, i, world.Endpoints[i], health)
	}
	hosts := entry(0, health)
	if whole {
		hosts += "," + entry(1, "in_service")
	}
	return fmt.Appendf(nil, `{"seq":2,"whole":%v,"hosts":[%s]}`, whole, hosts)
}

// takes has a courier that knows s-0 and s-1 take the body of an answer to a poll, and reports whether s-0 gets nothing new from then on and
// whether the list is asked for again.
func takes(t *testing.T, r *Server, body []byte) (heeded, askedAgain bool) {
	t.Helper()
	r.events = nil
	p := &r.discovery
	p.pollInFlight = &endpointconn.Exchange{} // so that the next poll is not sent
	if list, err := protocol.ReadList(body); err != nil {
		p.pollFailed(err, true, body)
	} else {
		p.listRead(list)
	}
	for _, event := range r.events {
		update, ok := event.(dispatch.EndpointUpdate)
		if !ok {
			t.Fatalf("event %+v", event)
		}
		askedAgain = askedAgain || update.Incomplete || update.Kind == dispatch.ListFailed
		for _, entry := range update.Entries {
			if entry.Endpoint == "s-0" {
				heeded = entry.Phase != dispatch.InService
			}
		}
	}
	return heeded, askedAgain
}

// TestSpoiltListsAreHeededOrAskedAgain: of every prefix of a list that tells a drain, and of every change of one byte in it, the drain is
// heeded, or the list is asked for again, from the version before; at the list's own version only where the drain is heeded.
func TestSpoiltListsAreHeededOrAskedAgain(t *testing.T) {
	world := open(t, 0)
	if err := world.Grow(1); err != nil {
		t.Fatal(err)
	}
	for _, health := range []string{"terminating", "terminated"} {
		for _, whole := range []bool{false, true} {
			body := drainList(world, health, whole)
			var spoilt [][]byte
			for cut := range body {
				spoilt = append(spoilt, body[:cut])
			}
			for at := range body {
				for _, b := range []byte("0159aZz_-.:,\"'{}[]\\ \x00\x01\x80\xff") {
					changed := bytes.Clone(body)
					changed[at] = b
					spoilt = append(spoilt, changed)
				}
			}
			// One courier for all: what a list made it suspect or know is put back before the next.
			r := prepare(t, world)
			endpoints := r.endpoints
			for _, text := range spoilt {
				r.endpoints, r.suspects, r.discovery.version, r.discovery.olderSince = map[dispatch.EndpointID]protocol.Endpoint{}, map[dispatch.EndpointID]bool{}, 1, never
				for id, entry := range endpoints {
					r.endpoints[id] = entry
				}
				heeded, again := takes(t, r, text)
				if gone := whole && r.endpoints["s-0"].Health == ""; !heeded && !gone && !again {
					t.Errorf("neither heeded nor asked again: %s", text)
				}
				if again && r.discovery.version != 1 {
					t.Errorf("asked again from version %d: %s", r.discovery.version, text)
				}
			}
			r.endpoints, r.suspects, r.discovery.version = endpoints, map[dispatch.EndpointID]bool{}, 1
			if heeded, again := takes(t, r, body); !heeded && !whole || again || r.discovery.version != 2 {
				t.Errorf("unspoilt: heeded %v, asked again %v, version %d: %s", heeded, again, r.discovery.version, body)
			}
		}
	}
}

// TestSuspectsAreClearedByAWholeRead: an endpoint that got nothing new while a list could not be used whole is in service again after one that
// could, whether or not that names it.
func TestSuspectsAreClearedByAWholeRead(t *testing.T) {
	world := open(t, 0)
	r := prepare(t, world)
	spoilt := []byte(`{"seq":2,"whole":true,"hosts":[{"host":7}]}`)
	if heeded, again := takes(t, r, spoilt); !heeded || !again || !r.suspects["s-0"] {
		t.Fatalf("heeded %v, asked again %v, suspects %v", heeded, again, r.suspects)
	}
	if heeded, again := takes(t, r, []byte(`{"seq":2,"whole":false,"hosts":[]}`)); heeded || again || len(r.suspects) > 0 || r.discovery.version != 2 {
		t.Errorf("heeded %v, asked again %v, suspects %v, version %d", heeded, again, r.suspects, r.discovery.version)
	}
}

// TestConfirmedListIsTakenAsItIs: what cannot be used of a whole list that was asked for twice is what discovery means: the version moves on, the
// endpoint that it names drains, the one that is missing is gone, and it is looked at again rarely.
func TestConfirmedListIsTakenAsItIs(t *testing.T) {
	world := open(t, 0)
	for range 2 {
		if err := world.Grow(1); err != nil {
			t.Fatal(err)
		}
	}
	r := prepare(t, world)
	version := r.discovery.version
	text := fmt.Appendf(nil, `{"seq":%d,"whole":true,"hosts":[{"host":"s-0","dial":%q,"site":"nowhere","class":"plain","block":1,"health":"in_service","share":1},`+
		`{"host":"s-1","dial":%q,"site":"a","class":"plain","block":1,"health":"in_service","share":1}]}`, version+1, world.Endpoints[0], world.Endpoints[1])
	for n := range 3 {
		r.discovery.polled.Whole = n > 0
		_, again := takes(t, r, text)
		if confirmed := n == 2; (r.discovery.version == version+1) != confirmed || !again {
			t.Errorf("read %d times: version %d, asked again %v", n+1, r.discovery.version, again)
		}
	}
	if update := r.events[len(r.events)-1].(dispatch.EndpointUpdate); !update.Unusable || update.Incomplete {
		t.Errorf("last update %+v", update)
	}
	_, listed := r.endpoints["s-2"]
	if r.endpoints["s-0"].Health != protocol.Draining || r.endpoints["s-1"].Health != protocol.InService || listed || len(r.suspects) > 0 {
		t.Errorf("endpoints %+v, suspects %v", r.endpoints, r.suspects)
	}
}

// TestVersionsThatGoBack: one older list changes nothing and has the whole one asked for; discovery that keeps to an older version is followed
// once a change would have had to be known.
func TestVersionsThatGoBack(t *testing.T) {
	world := open(t, 0)
	r := prepare(t, world)
	r.discovery.version = 50
	older := drainList(world, "terminating", false)
	if heeded, again := takes(t, r, older); heeded || !again || r.discovery.version != 50 || !r.discovery.wholeWanted {
		t.Errorf("heeded %v, asked again %v, version %d", heeded, again, r.discovery.version)
	}
	whole := fmt.Appendf(nil, `{"seq":2,"whole":true,"hosts":[{"host":"s-0","dial":%q,"site":"a","class":"plain","block":1,"health":"terminating","share":1}]}`, world.Endpoints[0])
	r.discovery.polled.Whole = true
	for _, after := range []dispatch.Micros{0, dispatch.ListDeadline - 1, dispatch.ListDeadline} {
		began := r.now
		r.now += after
		heeded, _ := takes(t, r, whole)
		if followed := after == dispatch.ListDeadline; heeded != followed || (r.discovery.version == 2) != followed {
			t.Errorf("%d us after the first: heeded %v, version %d", after, heeded, r.discovery.version)
		}
		r.now = began
	}
}

// TestPollsGoOnAfterAPanic: the dispatcher that had to decide on the next poll is gone, and the list is polled all the same.
func TestPollsGoOnAfterAPanic(t *testing.T) {
	r := prepare(t, open(t, 0))
	r.discovery.pollFailed(errNoAnswer, false, nil)
	r.restartDispatcher()
	if r.discovery.due() > r.now {
		t.Errorf("polled at %d us, now %d us", r.discovery.due(), r.now)
	}
}
