package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
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
	record  *record
	address string // where the courier reaches it

	mu      sync.Mutex
	list    hostList
	changes []hostList // one list for each version after the first, in order
	changed chan struct{}
	notices map[string]time.Time // when a notice first came, by message id
}

const listDelay = 2 * time.Millisecond

func openDiscovery(r *record, address string, hosts []host) (*discovery, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &discovery{record: r, address: listener.Addr().String(), list: hostList{1, true, hosts}, changed: make(chan struct{}),
		notices: map[string]time.Time{}}
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

// noticedAt returns when a notice for a message first came.
func (d *discovery) noticedAt(id string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.notices[id]
	return at, ok
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
			body, _ := json.Marshal(d.answer(request))
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		default:
			fmt.Fprint(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

func (d *discovery) takeNotices(request *http.Request) {
	lines := bufio.NewScanner(request.Body)
	for lines.Scan() {
		var n struct{ ID, Status string }
		if json.Unmarshal(lines.Bytes(), &n) != nil {
			continue
		}
		d.mu.Lock()
		if _, ok := d.notices[n.ID]; !ok {
			d.notices[n.ID] = time.Now()
		}
		d.mu.Unlock()
		d.record.add("notice: %s %s", n.ID, n.Status)
	}
}

// change applies entries as one new version of the list.
func (d *discovery) change(entries ...host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Seq++
	for _, entry := range entries {
		d.list.Hosts = slices.DeleteFunc(slices.Clone(d.list.Hosts), func(known host) bool { return known.Host == entry.Host })
		if entry.Health != "terminated" {
			d.list.Hosts = append(d.list.Hosts, entry)
		}
		d.record.add("discovery: version %d, %s is %s", d.list.Seq, entry.Host, entry.Health)
	}
	d.changes = append(d.changes, hostList{d.list.Seq, false, entries})
	close(d.changed)
	d.changed = make(chan struct{})
}

// answer returns the whole list, or waits for changes after a version.
func (d *discovery) answer(request *http.Request) hostList {
	index, err := strconv.Atoi(request.URL.Query().Get("index"))
	waitMs, _ := strconv.Atoi(request.URL.Query().Get("wait"))
	deadline := time.After(time.Duration(min(waitMs, 60000)) * time.Millisecond)
	for {
		d.mu.Lock()
		list, changes, changed := d.list, d.changes, d.changed
		d.mu.Unlock()
		if err != nil || index < 1 {
			return list
		}
		answer := hostList{Seq: list.Seq, Hosts: []host{}}
		for _, change := range changes {
			if change.Seq > index {
				answer.Hosts = append(answer.Hosts, change.Hosts...)
			}
		}
		if list.Seq > index {
			time.Sleep(listDelay)
			return answer
		}
		select {
		case <-changed:
		case <-deadline:
			return answer
		}
	}
}
