package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// host is one entry of the endpoint list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

type hostList struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// discovery serves the endpoint list with watches, and takes notices. Each answer with a list takes listDelay.
type discovery struct {
	record      *record
	address     string
	alwaysWhole bool // a change is told by the whole list

	mu         sync.Mutex
	seq        int
	hosts      []host
	changes    []hostList // one list for each version, in order
	changed    chan struct{}
	told       map[int]time.Time // when a version was first written whole to a courier
	notices    map[string]string // status by message id
	pieceSize  int               // if set, lists are written in pieces of so many bytes, with a pause after each
	piecePause time.Duration
	whole      int // lists written whole since setSlow, or since the start
	cutShort   int // lists during which the courier closed the connection
	longest    time.Duration
}

const listDelay = 20 * time.Millisecond

func openDiscovery(r *record, address string, hosts []host) (*discovery, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &discovery{record: r, address: listener.Addr().String(), seq: 1, hosts: hosts, changed: make(chan struct{}), told: map[int]time.Time{},
		notices: map[string]string{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	return d, nil
}

// change applies entries as one new version of the list and returns the version.
func (d *discovery) change(entries ...host) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for _, entry := range entries {
		found := false
		for i := range d.hosts {
			if d.hosts[i].Host == entry.Host {
				d.hosts[i], found = entry, true
			}
		}
		if !found {
			d.hosts = append(d.hosts, entry)
		}
		d.record.add("discovery: version %d, %s is %s", d.seq, entry.Host, entry.Health)
	}
	d.changes = append(d.changes, hostList{d.seq, false, entries})
	close(d.changed)
	d.changed = make(chan struct{})
	return d.seq
}

// list returns the whole list.
func (d *discovery) list() hostList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return hostList{d.seq, true, append([]host(nil), d.hosts...)}
}

// toldAt returns when a version was first written to a courier.
func (d *discovery) toldAt(seq int) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.told[seq]
	return at, ok
}

// setSlow makes discovery write lists in pieces, with a pause after each.
func (d *discovery) setSlow(size int, pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pieceSize, d.piecePause = size, pause
	d.whole, d.cutShort, d.longest = 0, 0, 0
}

// lists returns how many lists were written whole and how many were cut short by the courier, and how long the longest whole one took.
func (d *discovery) lists() (whole, cutShort int, longest time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.whole, d.cutShort, d.longest
}

func (d *discovery) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		switch {
		case request.Method == "POST" && request.URL.Path == "/v1/notices":
			d.takeNotices(request)
			fmt.Fprint(conn, "HTTP/1.1 204 No Content\r\n\r\n")
		case request.Method == "GET" && request.URL.Path == "/v1/servers":
			list := d.answer(request)
			time.Sleep(listDelay)
			if !d.write(conn, list) {
				return
			}
		default:
			fmt.Fprint(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

// write writes a list and reports whether it could be written whole.
func (d *discovery) write(conn net.Conn, list hostList) bool {
	body, _ := json.Marshal(list)
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	d.mu.Lock()
	size, pause := d.pieceSize, d.piecePause
	d.mu.Unlock()
	began := time.Now()
	for len(text) > 0 {
		n := len(text)
		if size > 0 {
			n = min(n, size)
		}
		if _, err := conn.Write([]byte(text[:n])); err != nil {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.cutShort++
			d.record.add("discovery: the courier closed the connection within %.3f s of the first byte of a list, %d bytes before its end",
				time.Since(began).Seconds(), len(text))
			return false
		}
		if text = text[n:]; len(text) > 0 {
			time.Sleep(pause)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.whole, d.longest = d.whole+1, max(d.longest, time.Since(began))
	for seq := 1; seq <= list.Seq; seq++ {
		if _, ok := d.told[seq]; !ok {
			d.told[seq] = time.Now()
			d.record.add("discovery: version %d was written to the courier", seq)
		}
	}
	return true
}

func (d *discovery) takeNotices(request *http.Request) {
	lines := bufio.NewScanner(request.Body)
	for lines.Scan() {
		var n struct{ ID, Status string }
		if json.Unmarshal(lines.Bytes(), &n) != nil {
			continue
		}
		d.mu.Lock()
		d.notices[n.ID] = n.Status
		d.mu.Unlock()
		d.record.add("notice: %s %s", n.ID, n.Status)
	}
}

// answer returns the whole list, or waits for changes after a version.
func (d *discovery) answer(request *http.Request) hostList {
	index, err := strconv.Atoi(request.URL.Query().Get("index"))
	if err != nil {
		return d.list()
	}
	waitMs, _ := strconv.Atoi(request.URL.Query().Get("wait"))
	deadline := time.After(time.Duration(min(waitMs, 60000)) * time.Millisecond)
	for {
		d.mu.Lock()
		list, changed := hostList{Seq: d.seq, Hosts: []host{}}, d.changed
		for _, change := range d.changes {
			if change.Seq > index {
				list.Hosts = append(list.Hosts, change.Hosts...)
			}
		}
		d.mu.Unlock()
		if list.Seq > index && d.alwaysWhole {
			return d.list()
		}
		if list.Seq > index {
			return list
		}
		select {
		case <-changed:
		case <-deadline:
			return list
		}
	}
}
