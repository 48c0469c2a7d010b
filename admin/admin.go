// Package admin is the second address, for operators alone: it listens, reads a call, answers and closes. What a call
// means for the courier is not known here.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Metrics is what the courier counted, from the start of its process on.
type Metrics struct {
	Success         map[string]int64 `json:"success"`  // delivered, by class
	Overload        map[string]int64 `json:"overload"` // rejected or handed back
	Error           map[string]int64 `json:"error"`    // failed
	Dispatches      int64            `json:"dispatches"`
	Concurrent      int64            `json:"concurrent"`
	Targets         int64            `json:"targets"`
	TargetsDisabled int64            `json:"targets_disabled"`
	ReloadSuccess   int64            `json:"reload_success"`
	ReloadFailure   int64            `json:"reload_failure"`
}

// Command changes something at a courier: SetDisabled or Drain.
type Command interface{ isCommand() }

type (
	// SetDisabled disables an endpoint, or enables it again.
	SetDisabled struct {
		Endpoint string
		Disabled bool
	}
	// Drain drains clients, or ends that.
	Drain struct{ Enabled bool }
)

func (SetDisabled) isCommand() {}
func (Drain) isCommand()       {}

// ErrUnknownEndpoint is the answer for an endpoint that nobody knows.
var ErrUnknownEndpoint = errors.New("no such endpoint")

// Courier is who stands behind the address. Execute may be called from many goroutines; what it answers lasts.
type Courier interface {
	Serving() bool
	Metrics() *Metrics // nil: none yet
	Execute(ctx context.Context, command Command) error
}

const (
	answerTimeout  = 800 * time.Millisecond // an answer is owed in a second
	requestTimeout = 3 * time.Second        // for a call to come whole
	maxHead        = 4 << 10
	maxBody        = 4 << 10 // nothing in it is read
)

// Server is the address.
type Server struct {
	http    *http.Server
	courier atomic.Pointer[Courier]
	fleet   atomic.Pointer[Fleet]
	log     *slog.Logger
}

// Open listens and answers from now on, at most so many calls at once; with no for all until there is a courier.
func Open(addr string, most int, log *slog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{log: log}
	crowd := &limitedListener{Listener: l, limit: max(1, most), active: map[net.Conn]bool{}}
	s.http = &http.Server{Handler: s.handler(), ReadTimeout: requestTimeout, WriteTimeout: requestTimeout + time.Second, MaxHeaderBytes: maxHead,
		ConnState: crowd.state, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	s.http.SetKeepAlivesEnabled(false)
	go s.http.Serve(crowd)
	return s, nil
}

// SetCourier puts a courier behind the address.
func (s *Server) SetCourier(courier Courier) { s.courier.Store(&courier) }

// Fleet is what a courier knows of the others.
type Fleet interface {
	Members() any // for JSON
	Remove(name string)
	Quota() any // for JSON; nil where limits are not shared
}

// SetFleet puts a fleet behind the address; without one there is no such call.
func (s *Server) SetFleet(f Fleet) { s.fleet.Store(&f) }

func (s *Server) members(w http.ResponseWriter, r *http.Request) {
	f := s.fleet.Load()
	if f == nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode((*f).Members())
}

func (s *Server) quota(w http.ResponseWriter, r *http.Request) {
	var shared any
	if f := s.fleet.Load(); f != nil {
		shared = (*f).Quota()
	}
	if shared == nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(shared)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	f := s.fleet.Load()
	if f == nil {
		http.NotFound(w, r)
		return
	}
	s.log.Info("admin request", "path", r.URL.Path, "remote", r.RemoteAddr)
	(*f).Remove(r.PathValue("name"))
	io.WriteString(w, "done\n")
}

// Close ends it.
func (s *Server) Close() error { return s.http.Close() }

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", s.status)
	mux.HandleFunc("GET /status/metrics", s.metrics)
	for verb, out := range map[string]bool{"enter": true, "exit": false} {
		mux.HandleFunc("POST /maintenance/"+verb+"/{id}", func(w http.ResponseWriter, r *http.Request) {
			s.execute(w, r, SetDisabled{r.PathValue("id"), out})
		})
	}
	mux.HandleFunc("GET /peers", s.members)
	mux.HandleFunc("GET /commons", s.quota)
	mux.HandleFunc("POST /peers/gone/{name}", s.remove)
	mux.HandleFunc("POST /standby", func(w http.ResponseWriter, r *http.Request) { s.execute(w, r, Drain{true}) })
	mux.HandleFunc("POST /active", func(w http.ResponseWriter, r *http.Request) { s.execute(w, r, Drain{false}) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBody)); err != nil {
			http.Error(w, "a body that cannot be read, or is too long", http.StatusRequestEntityTooLarge)
			return
		}
		// The mux would send such a path elsewhere, which is neither yes nor no.
		if clean := path.Clean(r.URL.Path); clean != r.URL.Path || !strings.HasPrefix(clean, "/") {
			http.NotFound(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Server) current() Courier {
	if c := s.courier.Load(); c != nil {
		return *c
	}
	return nil
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	if courier := s.current(); courier == nil || !courier.Serving() {
		http.Error(w, "takes no clients", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "takes clients\n")
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	var metrics *Metrics
	if courier := s.current(); courier != nil {
		metrics = courier.Metrics()
	}
	if metrics == nil {
		http.Error(w, "nothing is counted yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(metrics)
}

func (s *Server) execute(w http.ResponseWriter, r *http.Request, command Command) {
	courier := s.current()
	if courier == nil {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
	defer cancel()
	err := courier.Execute(ctx, command)
	s.log.Info("admin request", "path", r.URL.Path, "remote", r.RemoteAddr, "error", err)
	switch {
	case errors.Is(err, ErrUnknownEndpoint):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		io.WriteString(w, "done\n")
	}
}

// crowd bounds the connections: where one more comes, that which has brought no whole call for longest is closed.
type limitedListener struct {
	net.Listener
	limit  int
	mu     sync.Mutex
	order  []net.Conn        // oldest first
	active map[net.Conn]bool // brought something
}

func (c *limitedListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.order = append(c.order, conn)
	var dumb net.Conn
	if len(c.order) > c.limit {
		dumb = c.order[0]
		for _, o := range c.order[:len(c.order)-1] { // one that brings nothing goes before one that has begun a call
			if !c.active[o] {
				dumb = o
				break
			}
		}
		c.drop(dumb)
	}
	c.mu.Unlock()
	if dumb != nil {
		dumb.Close()
	}
	return conn, nil
}

// drop forgets a connection; the caller holds the lock.
func (c *limitedListener) drop(conn net.Conn) {
	delete(c.active, conn)
	for i, o := range c.order {
		if o == conn {
			c.order = append(c.order[:i:i], c.order[i+1:]...)
			return
		}
	}
}

func (c *limitedListener) state(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		if slices.Contains(c.order, conn) {
			c.active[conn] = true
		}
	case http.StateClosed, http.StateHijacked:
		c.drop(conn)
	}
}
