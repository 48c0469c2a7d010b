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

// directory is discovery and the platform as one courier meets them.
type directory struct {
	world   *World
	courier int
	server  *http.Server
	address string
	mu      sync.Mutex
	seq     int
	entries map[dispatch.EndpointID]entry
	log     []change
	changed chan struct{} // closed with each change
	isDown  bool
	newsAt  dispatch.Micros
	pending []entry
}

// entry is one endpoint in the platform's form.
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
	Seq   int     `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []entry `json:"hosts"`
}

var health = map[dispatch.Phase]string{dispatch.InService: "in_service", dispatch.Draining: "terminating", dispatch.Removed: "terminated"}

func (w *World) entry(dest int, e endpointmodel.Endpoint, phase dispatch.Phase, born int64) entry {
	dst := &w.Scenario.Destinations[dest]
	return entry{Host: e.ID, Dial: w.endpoint(e.ID).address, Site: w.Scenario.Definition.Fleet.Zones[e.Zone], Class: dst.KindName, Block: dest,
		Health: health[phase], Share: dst.Listed, Born: born}
}

func openDirectory(w *World, courier int) (*directory, error) {
	d := &directory{world: w, courier: courier, seq: 1, entries: map[dispatch.EndpointID]entry{}, changed: make(chan struct{})}
	for i := range w.Scenario.Destinations {
		for _, e := range w.Scenario.Destinations[i].Endpoints {
			d.entries[e.ID] = w.entry(i, e, dispatch.InService, 0)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", d.list)
	mux.HandleFunc("POST /v1/notices", d.notices)
	d.address, d.server = l.Addr().String(), &http.Server{Handler: mux}
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		d.server.Serve(l)
	}()
	return d, nil
}

func (d *directory) close() { d.server.Close() }

// later tells of a change after a while, in the order of changes.
func (d *directory) later(late dispatch.Micros, dest int, e endpointmodel.Endpoint, phase dispatch.Phase) {
	born := int64(0)
	if phase == dispatch.InService {
		born = time.Now().UnixMilli()
	}
	en := d.world.entry(dest, e, phase, born)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.newsAt = max(d.newsAt, d.world.Clock.Now()+late)
	d.world.Clock.After(d.newsAt, func() { d.apply(en) })
}

func (d *directory) apply(en entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isDown {
		d.pending = append(d.pending, en)
		return
	}
	d.put(en)
}

func (d *directory) put(en entry) {
	d.seq++
	if en.Health == health[dispatch.Removed] {
		delete(d.entries, en.Host)
	} else {
		d.entries[en.Host] = en
	}
	d.log = append(d.log, change{d.seq, en})
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *directory) down(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isDown = down
	if down {
		close(d.changed) // watches end
		d.changed = make(chan struct{})
		return
	}
	for _, en := range d.pending {
		d.put(en)
	}
	d.pending = nil
}

// whole is the list as this courier would get it now; the caller holds the lock.
func (d *directory) whole() list {
	l := list{Seq: d.seq, Whole: true, Hosts: []entry{}}
	for _, en := range d.entries {
		l.Hosts = append(l.Hosts, en)
	}
	slices.SortFunc(l.Hosts, func(a, b entry) int { return cmp.Compare(a.Host, b.Host) })
	return l
}

// since is what changed after a version.
func (d *directory) since(seq int) (list, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isDown {
		return list{}, false
	}
	if seq < 0 || seq > d.seq {
		return d.whole(), true
	}
	l := list{Seq: d.seq, Hosts: []entry{}}
	for _, c := range d.log {
		if c.seq > seq {
			l.Hosts = append(l.Hosts, c.entry)
		}
	}
	return l, true
}

func (d *directory) list(rw http.ResponseWriter, r *http.Request) {
	seq := -1
	if text := r.FormValue("index"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		seq = n
	} else {
		time.Sleep(d.callTime())
	}
	wait, _ := strconv.Atoi(r.FormValue("wait"))
	deadline := time.NewTimer(time.Duration(min(max(wait, 0), 60000)) * time.Millisecond)
	defer deadline.Stop()
	for {
		d.mu.Lock()
		changed := d.changed
		d.mu.Unlock()
		l, ok := d.since(seq)
		if !ok {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if l.Whole || len(l.Hosts) > 0 || seq < l.Seq {
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

func (d *directory) callTime() time.Duration {
	d.world.mu.Lock()
	defer d.world.mu.Unlock()
	r := d.world.Scenario.Definition.Directory.ListTime
	return time.Duration((r[0] + (r[1]-r[0])*d.world.rng.Float64()) * float64(time.Millisecond))
}

// write answers; from then on the courier is notified.
func (d *directory) write(rw http.ResponseWriter, l list) {
	text, err := json.Marshal(l)
	if err != nil {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	if _, err := rw.Write(text); err != nil || d.world.Books == nil {
		return
	}
	now := d.world.Clock.Now()
	for _, en := range l.Hosts {
		for phase, word := range health {
			if word == en.Health {
				d.world.Books.EndpointNotified(now, d.courier, en.Host, phase)
			}
		}
	}
}

func (d *directory) notices(rw http.ResponseWriter, r *http.Request) {
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
		how := invariants.Failed
		if n.Status == "deferred" {
			how = invariants.Rejected
		}
		if w.Books == nil || !w.Books.NoticeReceived(w.Clock.Now(), n.ID, how) {
			continue
		}
		w.MarkEnded(n.ID)
		if w.OnNotice != nil {
			w.OnNotice(n.ID, how, time.Duration(n.AgainMs)*time.Millisecond)
		}
	}
	rw.WriteHeader(http.StatusNoContent)
}

type notice struct {
	ID      dispatch.MessageID `json:"id"`
	Status  string             `json:"status"`
	AgainMs int64              `json:"again_ms"`
}

// InitialList is the list that a courier is handed at its start, in the platform's form.
func (w *World) InitialList(courier int) any {
	d := w.directory[courier]
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.whole()
}

// DirectoryAddress is where a courier finds its directory.
func (w *World) DirectoryAddress(courier int) string { return w.directory[courier].address }
