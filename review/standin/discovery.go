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

// discovery serves an endpoint list that does not change, and takes notices. A watch ends without changes when its wait is over. Each
// answer with a list takes listDelay.
type discovery struct {
	record  *record
	address string // where the courier reaches it
	list    hostList

	mu      sync.Mutex
	notices map[string]time.Time // when a notice first came, by message id
}

const listDelay = 20 * time.Millisecond

func openDiscovery(r *record, address string, hosts []host) (*discovery, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &discovery{record: r, address: listener.Addr().String(), list: hostList{1, true, hosts}, notices: map[string]time.Time{}}
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

// answer returns the whole list, or no change once the wait of a watch is over.
func (d *discovery) answer(request *http.Request) hostList {
	time.Sleep(listDelay)
	index, err := strconv.Atoi(request.URL.Query().Get("index"))
	if err != nil || index < d.list.Seq {
		return d.list
	}
	waitMs, _ := strconv.Atoi(request.URL.Query().Get("wait"))
	time.Sleep(time.Duration(min(waitMs, 60000)) * time.Millisecond)
	return hostList{Seq: d.list.Seq, Hosts: []host{}}
}
