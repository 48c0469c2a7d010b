package environment

import (
	"bufio"
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"pineport/dispatch"
	"pineport/testbed/endpointmodel"
	"pineport/testbed/invariants"
)

// directory is the HTTP service from which one courier gets the endpoint list, and to which it sends its notices.
type directory struct {
	world        *World
	courier      int
	server       *http.Server
	address      string
	mu           sync.Mutex
	seq          int
	entries      map[dispatch.EndpointID]entry
	changes      []change
	changed      chan struct{} // closed and replaced with each change
	isDown       bool
	nextChangeAt dispatch.Micros
	pending      []entry
}

// entry is one endpoint of the endpoint list, in the JSON format that couriers read.
type entry struct {
	Host   dispatch.EndpointID `json:"host"`
	Dial   string              `json:"dial"`
	Site   string              `json:"site"`
	Class  string              `json:"class"`
	Block  int                 `json:"block"`
	Health string              `json:"health"`
	Share  float64             `json:"share"`
	Born   int64               `json:"born_ms"`
}

type change struct {
	seq   int
	entry entry
}

type list struct {
	Seq     int     `json:"seq"`
	Full    bool    `json:"whole"`
	Entries []entry `json:"hosts"`
}

var healthNames = map[dispatch.Phase]string{dispatch.InService: "in_service", dispatch.Draining: "terminating", dispatch.Removed: "terminated"}

func (w *World) newEntry(dest int, e endpointmodel.Endpoint, phase dispatch.Phase, born int64) entry {
	dst := &w.Scenario.Destinations[dest]
	return entry{Host: e.ID, Dial: w.endpoint(e.ID).address, Site: w.Scenario.Definition.Fleet.Zones[e.Zone], Class: dst.KindName, Block: dest,
		Health: healthNames[phase], Share: dst.ListedRate, Born: born}
}

func openDirectory(w *World, courier int) (*directory, error) {
	d := &directory{world: w, courier: courier, seq: 1, entries: map[dispatch.EndpointID]entry{}, changed: make(chan struct{})}
	for i := range w.Scenario.Destinations {
		for _, e := range w.Scenario.Destinations[i].Endpoints {
			d.entries[e.ID] = w.newEntry(i, e, dispatch.InService, 0)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", d.handleList)
	mux.HandleFunc("POST /v1/notices", d.handleNotices)
	d.address, d.server = l.Addr().String(), &http.Server{Handler: mux}
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		d.server.Serve(l)
	}()
	return d, nil
}

func (d *directory) close() { d.server.Close() }

// publishAfter publishes a change of an endpoint after a delay, but not at an earlier time than the previous change.
func (d *directory) publishAfter(delay dispatch.Micros, dest int, e endpointmodel.Endpoint, phase dispatch.Phase) {
	born := int64(0)
	if phase == dispatch.InService {
		born = time.Now().UnixMilli()
	}
	en := d.world.newEntry(dest, e, phase, born)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextChangeAt = max(d.nextChangeAt, d.world.Clock.Now()+delay)
	d.world.Clock.After(d.nextChangeAt, func() { d.publish(en) })
}

func (d *directory) publish(en entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isDown {
		d.pending = append(d.pending, en)
		return
	}
	d.addChange(en)
}

func (d *directory) addChange(en entry) {
	d.seq++
	if en.Health == healthNames[dispatch.Removed] {
		delete(d.entries, en.Host)
	} else {
		d.entries[en.Host] = en
	}
	d.changes = append(d.changes, change{d.seq, en})
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *directory) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isDown = down
	if down {
		close(d.changed) // ends all watches
		d.changed = make(chan struct{})
		return
	}
	for _, en := range d.pending {
		d.addChange(en)
	}
	d.pending = nil
}

// fullList returns the complete endpoint list for the courier. The caller holds the lock.
func (d *directory) fullList() list {
	l := list{Seq: d.seq, Full: true, Entries: []entry{}}
	for _, en := range d.entries {
		l.Entries = append(l.Entries, en)
	}
	slices.SortFunc(l.Entries, func(a, b entry) int { return cmp.Compare(a.Host, b.Host) })
	return l
}

// changesSince returns the changes after a sequence number, or the complete list if the number is negative or not known. It
// returns false while the directory is down.
func (d *directory) changesSince(seq int) (list, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isDown {
		return list{}, false
	}
	if seq < 0 || seq > d.seq {
		return d.fullList(), true
	}
	l := list{Seq: d.seq, Entries: []entry{}}
	for _, c := range d.changes {
		if c.seq > seq {
			l.Entries = append(l.Entries, c.entry)
		}
	}
	return l, true
}

func (d *directory) handleList(rw http.ResponseWriter, r *http.Request) {
	seq := -1
	if text := r.FormValue("index"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		seq = n
	} else {
		time.Sleep(d.pollTime())
	}
	wait, _ := strconv.Atoi(r.FormValue("wait"))
	deadline := time.NewTimer(time.Duration(min(max(wait, 0), 60000)) * time.Millisecond)
	defer deadline.Stop()
	for {
		d.mu.Lock()
		changed := d.changed
		d.mu.Unlock()
		l, ok := d.changesSince(seq)
		if !ok {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if l.Full || len(l.Entries) > 0 || seq < l.Seq {
			d.write(rw, l)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			d.write(rw, l)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (d *directory) pollTime() time.Duration {
	d.world.mu.Lock()
	defer d.world.mu.Unlock()
	r := d.world.Scenario.Definition.Directory.ListTime
	return time.Duration((r[0] + (r[1]-r[0])*d.world.rng.Float64()) * float64(time.Millisecond))
}

// write sends a list to the courier and records that the courier was notified of the entries in the list.
func (d *directory) write(rw http.ResponseWriter, l list) {
	text, err := json.Marshal(l)
	if err != nil {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	if _, err := rw.Write(text); err != nil || d.world.Ledger == nil {
		return
	}
	now := d.world.Clock.Now()
	for _, en := range l.Entries {
		for phase, name := range healthNames {
			if name == en.Health {
				d.world.Ledger.EndpointNotified(now, d.courier, en.Host, phase)
			}
		}
	}
}

func (d *directory) handleNotices(rw http.ResponseWriter, r *http.Request) {
	var all []notice
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		var n notice
		if json.Unmarshal(lines.Bytes(), &n) != nil || n.ID == "" || n.Status != "undeliverable" && n.Status != "deferred" {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		all = append(all, n)
	}
	w := d.world
	for _, n := range all {
		end := invariants.Failed
		if n.Status == "deferred" {
			end = invariants.Rejected
		}
		if w.Ledger == nil || !w.Ledger.NoticeReceived(w.Clock.Now(), n.ID, end) {
			continue
		}
		w.MarkEnded(n.ID)
		if w.OnNotice != nil {
			w.OnNotice(n.ID, end, time.Duration(n.AgainMs)*time.Millisecond)
		}
	}
	rw.WriteHeader(http.StatusNoContent)
}

type notice struct {
	ID      dispatch.MessageID `json:"id"`
	Status  string             `json:"status"`
	AgainMs int64              `json:"again_ms"`
}

// InitialList returns the endpoint list that the configuration of a courier contains at its start, in the JSON format that couriers read.
func (w *World) InitialList(courier int) any {
	d := w.directories[courier]
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fullList()
}

// DirectoryAddress returns the address of the directory of a courier.
func (w *World) DirectoryAddress(courier int) string { return w.directories[courier].address }
