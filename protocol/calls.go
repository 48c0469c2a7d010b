package protocol

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"strconv"
)

// Message is a message on its way to an endpoint.
type Message struct {
	ID             string
	IdempotencyKey string // by which a repeat is known, if it has one
	Body           []byte
}

func post(dst []byte, path, host, headers string, size int) []byte {
	return fmt.Appendf(dst, "POST %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\n\r\n", path, host, headers, size)
}

// EncodeDelivery writes a call with the messages it carries; budget is how long this side will wait, in milliseconds.
func EncodeDelivery(host string, budget int64, items []Message) []byte {
	if len(items) == 1 {
		head := fmt.Sprintf("X-Call-Id: %s\r\nX-Budget-Ms: %d\r\n", items[0].ID, budget)
		if items[0].IdempotencyKey != "" {
			head += "Idempotency-Key: " + items[0].IdempotencyKey + "\r\n"
		}
		return append(post(nil, "/hook", host, head, len(items[0].Body)), items[0].Body...)
	}
	var body []byte
	for _, it := range items {
		body = fmt.Appendf(body, "%s %s %d\r\n", it.ID, cmp.Or(it.IdempotencyKey, "-"), len(it.Body))
		body = append(append(body, it.Body...), "\r\n"...)
	}
	return append(post(nil, "/hook/batch", host, fmt.Sprintf("X-Budget-Ms: %d\r\n", budget), len(body)), body...)
}

// Ends of a message in an answer for several.
const (
	Accepted       = "accepted"
	Fault          = "fault"
	Deferred       = "deferred"
	Expired        = "expired"
	NoMoreAttempts = "no_more"
)

// ReadOutcomes reads how each message of a call fared.
func ReadOutcomes(body []byte) map[string]string {
	ends := map[string]string{}
	for _, line := range bytes.Split(body, []byte{'\n'}) {
		if parts := bytes.Fields(line); len(parts) == 2 {
			ends[string(parts[0])] = string(parts[1])
		}
	}
	return ends
}

// Notice tells the platform of a message that was taken on and not delivered.
type Notice struct {
	ID           string
	Rejected     bool
	RetryAfterMs int64 // with a reject, 0 if nothing is advised
}

// EncodeNotices writes one call with several notices.
func EncodeNotices(host string, notices []Notice) []byte {
	var body []byte
	for _, n := range notices {
		line := struct {
			ID     string `json:"id"`
			Status string `json:"status"`
			Again  int64  `json:"again_ms,omitempty"`
		}{n.ID, "undeliverable", 0}
		if n.Rejected {
			line.Status, line.Again = "deferred", n.RetryAfterMs
		}
		text, _ := json.Marshal(line) // strings and a number: it cannot fail
		body = append(append(body, text...), '\n')
	}
	return append(post(nil, "/v1/notices", host, "", len(body)), body...)
}

// Health is where an endpoint stands on discovery's list.
type Health string

// The states of an endpoint, as discovery writes them.
const (
	InService Health = "in_service"
	Draining  Health = "terminating"
	Removed   Health = "terminated"
)

// Endpoint is one endpoint on discovery's list.
type Endpoint struct {
	Host         string  `json:"host"`
	Address      string  `json:"dial"`
	Zone         string  `json:"site"`
	EndpointType string  `json:"class"`
	Destination  int     `json:"block"`
	Health       Health  `json:"health"`
	Rate         float64 `json:"share"`
	StartedAtMs  int64   `json:"born_ms"` // when it last started, in Unix milliseconds; 0 for long ago
}

// List is discovery's list, or changes of it. Invalid are the entries that were left out.
type List struct {
	Version  int64
	Complete bool
	Hosts    []Endpoint
	Invalid  []InvalidEntry
}

// InvalidEntry is an entry that cannot be used.
type InvalidEntry struct {
	Host    string // the endpoint that it names; empty where that cannot be read either
	Address string // the same for its address
	Err     error
}

func (f InvalidEntry) Error() string { return f.Err.Error() }

// Unwrap returns what is wrong with it.
func (f InvalidEntry) Unwrap() error { return f.Err }

// ReadList reads a list; an entry that cannot be used is left out and named. Without version, kind or entries it is no list: what
// is missing may have been there, under a name that was spoilt on the way.
func ReadList(text []byte) (List, error) {
	var raw struct {
		Seq   *int64            `json:"seq"`
		Whole *bool             `json:"whole"`
		Hosts []json.RawMessage `json:"hosts"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return List{}, err
	}
	switch {
	case raw.Seq == nil:
		return List{}, fmt.Errorf("seq is missing")
	case raw.Whole == nil:
		return List{}, fmt.Errorf("whole is missing")
	case raw.Hosts == nil:
		return List{}, fmt.Errorf("hosts is missing")
	}
	return newList(*raw.Seq, *raw.Whole, raw.Hosts), nil
}

// ReadConfiguredList reads a whole list that a configuration holds; one without entries is empty.
func ReadConfiguredList(text []byte) (List, error) {
	var raw struct {
		Seq   *int64            `json:"seq"`
		Hosts []json.RawMessage `json:"hosts"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return List{}, err
	}
	if raw.Seq == nil {
		return List{}, fmt.Errorf("seq is missing")
	}
	return newList(*raw.Seq, true, raw.Hosts), nil
}

func newList(seq int64, whole bool, hosts []json.RawMessage) List {
	l := List{Version: seq, Complete: whole}
	for _, text := range hosts {
		l.add(text)
	}
	return l
}

func (l *List) add(text []byte) {
	h := Endpoint{Destination: -1}
	err := json.Unmarshal(text, &h)
	switch {
	case err != nil:
	case !isToken([]byte(h.Host)):
		err = fmt.Errorf("host: a name was expected")
	case h.Destination < 0:
		err = fmt.Errorf("host %s: block: a number was expected", h.Host)
	case h.Health != InService && h.Health != Draining && h.Health != Removed:
		err = fmt.Errorf("host %s: health: unknown state %.20q", h.Host, h.Health)
	case h.Health != Removed && !isAddress(h.Address):
		err = fmt.Errorf("host %s: dial: address:port was expected, not %.40q", h.Host, h.Address)
	}
	if err != nil {
		l.Invalid = append(l.Invalid, InvalidEntry{Host: h.Host, Address: h.Address, Err: err})
		return
	}
	l.Hosts = append(l.Hosts, h)
}

// ReadTruncatedList reads the entries that are complete of a list that broke off.
func ReadTruncatedList(text []byte) (l List) {
	dec := json.NewDecoder(bytes.NewReader(text))
	if start, err := dec.Token(); err != nil || start != json.Delim('{') {
		return l
	}
	for dec.More() {
		key, err := dec.Token()
		if err == nil && key == "seq" {
			err = dec.Decode(&l.Version)
		} else if err == nil && key == "hosts" {
			_, err = dec.Token()
			for err == nil && dec.More() {
				var one json.RawMessage
				if err = dec.Decode(&one); err == nil {
					l.add(one)
				}
			}
		} else if err == nil {
			err = dec.Decode(new(json.RawMessage))
		}
		if err != nil || key == "hosts" {
			return l
		}
	}
	return l
}

// EncodeListRequest writes the call for the whole list.
func EncodeListRequest(host string) []byte {
	return fmt.Appendf(nil, "GET /v1/servers HTTP/1.1\r\nHost: %s\r\n\r\n", host)
}

// EncodeWatch writes the call that waits for what is newer than a version.
func EncodeWatch(host string, seq, waitMs int64) []byte {
	return fmt.Appendf(nil, "GET /v1/servers?index=%d&wait=%d HTTP/1.1\r\nHost: %s\r\n\r\n", seq, waitMs, host)
}

func isAddress(s string) bool {
	host, port, ok := bytes.Cut([]byte(s), []byte{':'})
	n, err := strconv.ParseUint(string(port), 10, 16)
	return ok && err == nil && n > 0 && isToken(host)
}
