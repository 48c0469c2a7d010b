package protocol

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"strconv"
)

// Message is a message in a delivery request.
type Message struct {
	ID             string
	IdempotencyKey string // idempotency key; empty if there is none
	Body           []byte
}

func appendPost(dst []byte, path, host, headers string, size int) []byte {
	return fmt.Appendf(dst, "POST %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\n\r\n", path, host, headers, size)
}

// SharedSize returns how many bytes a message takes in the body of a delivery request for several messages.
func SharedSize(message Message) int {
	return len(appendItemHead(nil, message)) + len(message.Body) + len(itemEnd)
}

const itemEnd = "\r\n" // follows the body of each message in a request for several

func appendItemHead(dst []byte, message Message) []byte {
	return fmt.Appendf(dst, "%s %s %d\r\n", message.ID, cmp.Or(message.IdempotencyKey, "-"), len(message.Body))
}

// EncodeDelivery encodes a delivery request for one or more messages. budget is the time for which the courier will wait for the
// response, in milliseconds.
func EncodeDelivery(host string, budget int64, items []Message) []byte {
	if len(items) == 1 {
		head := fmt.Sprintf("X-Call-Id: %s\r\nX-Budget-Ms: %d\r\n", items[0].ID, budget)
		if items[0].IdempotencyKey != "" {
			head += "Idempotency-Key: " + items[0].IdempotencyKey + "\r\n"
		}
		return append(appendPost(nil, "/hook", host, head, len(items[0].Body)), items[0].Body...)
	}
	var body []byte
	for _, it := range items {
		body = appendItemHead(body, it)
		body = append(append(body, it.Body...), itemEnd...)
	}
	return append(appendPost(nil, "/hook/batch", host, fmt.Sprintf("X-Budget-Ms: %d\r\n", budget), len(body)), body...)
}

// Outcomes of a single message in the response to a batch.
const (
	Accepted       = "accepted" // delivered
	Fault          = "fault"    // failed; it may have been processed
	Deferred       = "deferred" // throttled
	Expired        = "expired"  // not processed, because its time to live is over
	NoMoreAttempts = "no_more"  // not processed, because the endpoint accepts no more attempts of it
)

// ReadOutcomes parses the body of the response to a batch. It returns the outcome of each message by message ID.
func ReadOutcomes(body []byte) map[string]string {
	outcomes := map[string]string{}
	for _, line := range bytes.Split(body, []byte{'\n'}) {
		if fields := bytes.Fields(line); len(fields) == 2 {
			outcomes[string(fields[0])] = string(fields[1])
		}
	}
	return outcomes
}

// Notice tells the platform, through the discovery service, that an accepted message was not delivered.
type Notice struct {
	ID           string
	Rejected     bool
	RetryAfterMs int64 // if Rejected, how long to wait before submitting the message again; 0 if none is advised
}

// EncodeNotices encodes a request that carries notices.
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
		text, _ := json.Marshal(line) // cannot fail: the struct holds only strings and an integer
		body = append(append(body, text...), '\n')
	}
	return append(appendPost(nil, "/v1/notices", host, "", len(body)), body...)
}

// Health is the state of an endpoint on discovery's endpoint list.
type Health string

// Endpoint states, as encoded on discovery's endpoint list.
const (
	InService Health = "in_service"
	Draining  Health = "terminating"
	Removed   Health = "terminated"
)

// Endpoint is an entry of discovery's endpoint list.
type Endpoint struct {
	Host         string  `json:"host"`
	Address      string  `json:"dial"`
	Zone         string  `json:"site"`
	EndpointType string  `json:"class"`
	Destination  int     `json:"block"`
	Health       Health  `json:"health"`
	Rate         float64 `json:"share"`   // limit in calls per second from all couriers; 0 if unknown
	StartedAtMs  int64   `json:"born_ms"` // time of the endpoint's last start, in Unix milliseconds; discovery sends 0 if it was long ago
}

// List is the complete endpoint list of discovery if Complete is set, and otherwise the changed entries. Version is the version of the list.
// Invalid holds the entries that were omitted as invalid.
type List struct {
	Version  int64
	Complete bool
	Hosts    []Endpoint
	Invalid  []InvalidEntry
}

// InvalidEntry describes an invalid entry of an endpoint list.
type InvalidEntry struct {
	Host    string // endpoint name in the entry; empty if it could not be parsed
	Address string // address in the entry; empty if it could not be parsed
	Err     error
}

func (f InvalidEntry) Error() string { return f.Err.Error() }

// Unwrap returns the reason why the entry is invalid.
func (f InvalidEntry) Unwrap() error { return f.Err }

// ReadList parses an endpoint list. It omits invalid entries and reports them in Invalid. It returns an error if seq, whole or
// hosts is missing: such a list is not trustworthy, since the key may have been there under a corrupted name.
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

// ReadConfiguredList parses a complete endpoint list stored in the configuration. The list is empty if hosts is missing.
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
		err = fmt.Errorf("host: missing or invalid name")
	case h.Destination < 0:
		err = fmt.Errorf("host %s: block: missing or negative number", h.Host)
	case h.Health != InService && h.Health != Draining && h.Health != Removed:
		err = fmt.Errorf("host %s: health: unknown state %.20q", h.Host, h.Health)
	case h.Health != Removed && !isAddress(h.Address):
		err = fmt.Errorf("host %s: dial: expected address:port, got %.40q", h.Host, h.Address)
	}
	if err != nil {
		l.Invalid = append(l.Invalid, InvalidEntry{Host: h.Host, Address: h.Address, Err: err})
		return
	}
	l.Hosts = append(l.Hosts, h)
}

// ReadTruncatedList parses the complete entries of a truncated endpoint list.
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
				var entry json.RawMessage
				if err = dec.Decode(&entry); err == nil {
					l.add(entry)
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

// EncodeListRequest encodes the request for the complete endpoint list.
func EncodeListRequest(host string) []byte {
	return fmt.Appendf(nil, "GET /v1/servers HTTP/1.1\r\nHost: %s\r\n\r\n", host)
}

// EncodeWatch encodes the request that waits up to waitMs milliseconds for changes after version seq of the endpoint list.
func EncodeWatch(host string, seq, waitMs int64) []byte {
	return fmt.Appendf(nil, "GET /v1/servers?index=%d&wait=%d HTTP/1.1\r\nHost: %s\r\n\r\n", seq, waitMs, host)
}

func isAddress(s string) bool {
	host, port, ok := bytes.Cut([]byte(s), []byte{':'})
	n, err := strconv.ParseUint(string(port), 10, 16)
	return ok && err == nil && n > 0 && isToken(host)
}
