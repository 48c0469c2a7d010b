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

// drainList returns a list in the format of discovery, in which s-0 has the given health.
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

// applyListBody handles the body of an answer to a poll and reports whether s-0 is out of service
// afterwards, and whether the list will be polled again. The courier knows s-0 and s-1.
func applyListBody(t *testing.T, s *Server, body []byte) (applied, polledAgain bool) {
	t.Helper()
	s.events = nil
	d := &s.discovery
	d.pollInFlight = &endpointconn.Exchange{} // prevents the next poll from being sent
	if list, err := protocol.ReadList(body); err != nil {
		d.pollFailed(err, true, body)
	} else {
		d.listReceived(list)
	}
	for _, event := range s.events {
		update, ok := event.(dispatch.EndpointUpdate)
		if !ok {
			t.Fatalf("event %+v", event)
		}
		polledAgain = polledAgain || update.Incomplete || update.Kind == dispatch.ListFailed
		for _, entry := range update.Entries {
			if entry.Endpoint == "s-0" {
				applied = entry.Phase != dispatch.InService
			}
		}
	}
	return applied, polledAgain
}

// TestCorruptListIsAppliedOrPolledAgain takes a list that announces a drain, every prefix of it, and every
// change of one byte in it. The drain must be applied, or the list must be polled again from the previous
// version. The version of the list may be stored only if the drain was applied.
func TestCorruptListIsAppliedOrPolledAgain(t *testing.T) {
	world := openWorld(t, 0)
	if err := world.AddEndpoint(1); err != nil {
		t.Fatal(err)
	}
	for _, health := range []string{"terminating", "terminated"} {
		for _, whole := range []bool{false, true} {
			body := drainList(world, health, whole)
			var corrupt [][]byte
			for cut := range body {
				corrupt = append(corrupt, body[:cut])
			}
			for at := range body {
				for _, b := range []byte("0159aZz_-.:,\"'{}[]\\ \x00\x01\x80\xff") {
					changed := bytes.Clone(body)
					changed[at] = b
					corrupt = append(corrupt, changed)
				}
			}
			// All lists share one courier, whose endpoints, suspects and version are reset before each
			// list.
			s := newTestServer(t, world)
			endpoints := s.endpoints
			for _, text := range corrupt {
				s.endpoints, s.suspects, s.discovery.version, s.discovery.olderSince = map[dispatch.EndpointID]protocol.Endpoint{}, map[dispatch.EndpointID]bool{}, 1, never
				for id, entry := range endpoints {
					s.endpoints[id] = entry
				}
				applied, polledAgain := applyListBody(t, s, text)
				if removed := whole && s.endpoints["s-0"].Health == ""; !applied && !removed && !polledAgain {
					t.Errorf("drain neither applied nor polled again: %s", text)
				}
				if polledAgain && s.discovery.version != 1 {
					t.Errorf("polled again from version %d: %s", s.discovery.version, text)
				}
			}
			s.endpoints, s.suspects, s.discovery.version = endpoints, map[dispatch.EndpointID]bool{}, 1
			if applied, polledAgain := applyListBody(t, s, body); !applied && !whole || polledAgain || s.discovery.version != 2 {
				t.Errorf("valid list: applied %v, polled again %v, version %d: %s", applied, polledAgain, s.discovery.version, body)
			}
		}
	}
}

// TestSuspectsAreClearedByUsableList: an endpoint that is suspect because of an unusable list entry is in
// service again after a list without unusable entries, even if that does not contain it.
func TestSuspectsAreClearedByUsableList(t *testing.T) {
	world := openWorld(t, 0)
	s := newTestServer(t, world)
	corrupt := []byte(`{"seq":2,"whole":true,"hosts":[{"host":7}]}`)
	if applied, polledAgain := applyListBody(t, s, corrupt); !applied || !polledAgain || !s.suspects["s-0"] {
		t.Fatalf("applied %v, polled again %v, suspects %v", applied, polledAgain, s.suspects)
	}
	if applied, polledAgain := applyListBody(t, s, []byte(`{"seq":2,"whole":false,"hosts":[]}`)); applied || polledAgain || len(s.suspects) > 0 || s.discovery.version != 2 {
		t.Errorf("applied %v, polled again %v, suspects %v, version %d", applied, polledAgain, s.suspects, s.discovery.version)
	}
}

// TestConfirmedListIsAccepted reads the same list three times: as the answer to a request for changes, and
// then to two requests for the complete list. After the third time the list is accepted although an entry
// is unusable. The version advances, the endpoint named by that entry drains, and the missing endpoint is
// removed. The update is marked Unusable, on which the dispatcher polls again rarely.
func TestConfirmedListIsAccepted(t *testing.T) {
	world := openWorld(t, 0)
	for range 2 {
		if err := world.AddEndpoint(1); err != nil {
			t.Fatal(err)
		}
	}
	s := newTestServer(t, world)
	version := s.discovery.version
	text := fmt.Appendf(nil, `{"seq":%d,"whole":true,"hosts":[{"host":"s-0","dial":%q,"site":"nowhere","class":"plain","block":1,"health":"in_service","share":1},`+
		`{"host":"s-1","dial":%q,"site":"a","class":"plain","block":1,"health":"in_service","share":1}]}`, version+1, world.Endpoints[0], world.Endpoints[1])
	for n := range 3 {
		s.discovery.pollRequest.Whole = n > 0
		_, polledAgain := applyListBody(t, s, text)
		if confirmed := n == 2; (s.discovery.version == version+1) != confirmed || !polledAgain {
			t.Errorf("read %d times: version %d, polled again %v", n+1, s.discovery.version, polledAgain)
		}
	}
	if update := s.events[len(s.events)-1].(dispatch.EndpointUpdate); !update.Unusable || update.Incomplete {
		t.Errorf("last update %+v", update)
	}
	_, listed := s.endpoints["s-2"]
	if s.endpoints["s-0"].Health != protocol.Draining || s.endpoints["s-1"].Health != protocol.InService || listed || len(s.suspects) > 0 {
		t.Errorf("endpoints %+v, suspects %v", s.endpoints, s.suspects)
	}
}

// TestOlderListVersions: an older list is ignored, and the complete list is requested. If discovery keeps
// returning an older version, its list is accepted after dispatch.ListDeadline.
func TestOlderListVersions(t *testing.T) {
	world := openWorld(t, 0)
	s := newTestServer(t, world)
	s.discovery.version = 50
	older := drainList(world, "terminating", false)
	if applied, polledAgain := applyListBody(t, s, older); applied || !polledAgain || s.discovery.version != 50 || !s.discovery.completeListWanted {
		t.Errorf("applied %v, polled again %v, version %d", applied, polledAgain, s.discovery.version)
	}
	whole := fmt.Appendf(nil, `{"seq":2,"whole":true,"hosts":[{"host":"s-0","dial":%q,"site":"a","class":"plain","block":1,"health":"terminating","share":1}]}`, world.Endpoints[0])
	s.discovery.pollRequest.Whole = true
	for _, after := range []dispatch.Micros{0, dispatch.ListDeadline - 1, dispatch.ListDeadline} {
		began := s.now
		s.now += after
		applied, _ := applyListBody(t, s, whole)
		if accepted := after == dispatch.ListDeadline; applied != accepted || (s.discovery.version == 2) != accepted {
			t.Errorf("%d us after the first: applied %v, version %d", after, applied, s.discovery.version)
		}
		s.now = began
	}
}

// TestPollingResumesAfterDispatcherPanic: the list is polled although the decision of the old dispatcher on
// the next poll is lost.
func TestPollingResumesAfterDispatcherPanic(t *testing.T) {
	s := newTestServer(t, openWorld(t, 0))
	s.discovery.pollFailed(errNoAnswer, false, nil)
	s.restartDispatcher()
	if s.discovery.due() > s.now {
		t.Errorf("next poll at %d us, want at most %d us", s.discovery.due(), s.now)
	}
}
