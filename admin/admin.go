// Package admin serves the admin HTTP API for operators, on an address of its own. Each connection carries one request. The
// package passes commands to the courier and does not implement them.
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

// Metrics holds the counters and gauges of the courier. Counters start at 0 with the process.
type Metrics struct {
	Success         map[string]int64 `json:"success"`          // messages delivered, by class
	Overload        map[string]int64 `json:"overload"`         // messages rejected, by class
	Error           map[string]int64 `json:"error"`            // messages failed, by class
	Dispatches      int64            `json:"dispatches"`       // calls to endpoints
	Concurrent      int64            `json:"concurrent"`       // messages accepted and not finished
	Targets         int64            `json:"targets"`          // endpoints on the list
	TargetsDisabled int64            `json:"targets_disabled"` // endpoints without new messages: disabled, draining, ejected or with open breakers
	ReloadSuccess   int64            `json:"reload_success"`
	ReloadFailure   int64            `json:"reload_failure"`
}

// Command is a request to change the state of a courier: SetDisabled or Drain.
type Command interface{ isCommand() }

type (
	// SetDisabled disables or enables an endpoint.
	SetDisabled struct {
		Endpoint string
		Disabled bool
	}
	// Drain starts or stops draining clients.
	Drain struct{ Enabled bool }
)

func (SetDisabled) isCommand() {}
func (Drain) isCommand()       {}

// ErrUnknownEndpoint is returned by Execute for an endpoint that the courier does not know.
var ErrUnknownEndpoint = errors.New("no such endpoint")

// Courier executes the requests. Execute may be called concurrently and returns nil once the change is applied; a change to
// disabled endpoints is stored on disk by then.
type Courier interface {
	Serving() bool     // whether it accepts clients
	Metrics() *Metrics // nil before the first counts are available
	Execute(ctx context.Context, command Command) error
}

const (
	answerTimeout  = 800 * time.Millisecond // operators' HTTP clients expect a response within one second
	requestTimeout = 3 * time.Second        // for reading a complete request
	maxHeaderBytes = 4 << 10
	maxBodyBytes   = 4 << 10 // request bodies are discarded
)

// Server is the admin HTTP server.
type Server struct {
	http    *http.Server
	courier atomic.Pointer[Courier]
	fleet   atomic.Pointer[Fleet]
	log     *slog.Logger
}

// Open listens on addr and serves requests on at most maxConns connections at once. Until SetCourier is called, requests that
// need a courier get status 503.
func Open(addr string, maxConns int, log *slog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{log: log}
	listener := &limitedListener{Listener: l, limit: max(1, maxConns), hasRequest: map[net.Conn]bool{}}
	s.http = &http.Server{Handler: s.handler(), ReadTimeout: requestTimeout, WriteTimeout: requestTimeout + time.Second, MaxHeaderBytes: maxHeaderBytes,
		ConnState: listener.onStateChange, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	s.http.SetKeepAlivesEnabled(false)
	go s.http.Serve(listener)
	return s, nil
}

// SetCourier sets the courier that executes the requests.
func (s *Server) SetCourier(courier Courier) { s.courier.Store(&courier) }

// Fleet gives access to the membership and the shared quotas of the fleet.
type Fleet interface {
	Members() any // encoded as JSON
	Remove(name string)
	Quota() any // encoded as JSON; nil if couriers do not share quotas
}

// SetFleet enables the requests about the fleet. Without a fleet they get status 404.
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
	var quota any
	if f := s.fleet.Load(); f != nil {
		quota = (*f).Quota()
	}
	if quota == nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(quota)
}

func (s *Server) removeMember(w http.ResponseWriter, r *http.Request) {
	f := s.fleet.Load()
	if f == nil {
		http.NotFound(w, r)
		return
	}
	s.log.Info("admin request", "path", r.URL.Path, "remote", r.RemoteAddr)
	(*f).Remove(r.PathValue("name"))
	io.WriteString(w, "done\n")
}

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", s.status)
	mux.HandleFunc("GET /status/metrics", s.metrics)
	for verb, disable := range map[string]bool{"enter": true, "exit": false} { // entering maintenance disables the endpoint
		mux.HandleFunc("POST /maintenance/"+verb+"/{id}", func(w http.ResponseWriter, r *http.Request) {
			s.execute(w, r, SetDisabled{r.PathValue("id"), disable})
		})
	}
	// The paths of requests about the fleet keep older names: peers are members, commons are shared quotas.
	mux.HandleFunc("GET /peers", s.members)
	mux.HandleFunc("GET /commons", s.quota)
	mux.HandleFunc("POST /peers/gone/{name}", s.removeMember)
	mux.HandleFunc("POST /standby", func(w http.ResponseWriter, r *http.Request) { s.execute(w, r, Drain{true}) })
	mux.HandleFunc("POST /active", func(w http.ResponseWriter, r *http.Request) { s.execute(w, r, Drain{false}) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
			http.Error(w, "a body that cannot be read, or is too long", http.StatusRequestEntityTooLarge)
			return
		}
		// ServeMux would redirect a path that is not clean; operators' scripts need a definite status.
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

// limitedListener limits the number of open connections. If a new connection exceeds the limit, the oldest connection without
// a complete request header is closed, or the oldest connection if all have one.
type limitedListener struct {
	net.Listener
	limit      int
	mu         sync.Mutex
	conns      []net.Conn        // oldest first
	hasRequest map[net.Conn]bool // a complete request header was received
}

func (l *limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.conns = append(l.conns, conn)
	var evicted net.Conn
	if len(l.conns) > l.limit {
		evicted = l.conns[0]
		for _, candidate := range l.conns[:len(l.conns)-1] { // prefer a connection without a request
			if !l.hasRequest[candidate] {
				evicted = candidate
				break
			}
		}
		l.untrack(evicted)
	}
	l.mu.Unlock()
	if evicted != nil {
		evicted.Close()
	}
	return conn, nil
}

// untrack stops tracking a connection. The caller must hold c.mu.
func (l *limitedListener) untrack(conn net.Conn) {
	delete(l.hasRequest, conn)
	for i, tracked := range l.conns {
		if tracked == conn {
			l.conns = append(l.conns[:i:i], l.conns[i+1:]...)
			return
		}
	}
}

func (l *limitedListener) onStateChange(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive:
		if slices.Contains(l.conns, conn) {
			l.hasRequest[conn] = true
		}
	case http.StateClosed, http.StateHijacked:
		l.untrack(conn)
	}
}
