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

// Figures is what the courier counted, from the start of its process on.
type Figures struct {
	Success         map[string]int64 `json:"success"`  // delivered, by workload
	Overload        map[string]int64 `json:"overload"` // turned away or handed back
	Error           map[string]int64 `json:"error"`    // failed
	Dispatches      int64            `json:"dispatches"`
	Concurrent      int64            `json:"concurrent"`
	Targets         int64            `json:"targets"`
	TargetsDisabled int64            `json:"targets_disabled"`
	ReloadSuccess   int64            `json:"reload_success"`
	ReloadFailure   int64            `json:"reload_failure"`
}

// What is asked for that changes something.
type (
	// Maintain takes an endpoint out, or puts it back.
	Maintain struct {
		Endpoint string
		Out      bool
	}
	// Away sends clients away, or ends that.
	Away struct{ Away bool }
)

// ErrUnknown is the answer for an endpoint that nobody knows.
var ErrUnknown = errors.New("no such endpoint")

// Courier is who stands behind the address. Ask may be called from many goroutines; what it answers lasts.
type Courier interface {
	Serving() bool
	Figures() *Figures // nil: none yet
	Ask(ctx context.Context, what any) error
}

const (
	answerWithin = 800 * time.Millisecond // an answer is owed in a second
	callWithin   = 3 * time.Second        // for a call to come whole
	maxHead      = 4 << 10
	maxBody      = 4 << 10 // nothing in it is read
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
	crowd := &crowd{Listener: l, most: max(1, most), asks: map[net.Conn]bool{}}
	s.http = &http.Server{Handler: s.handler(), ReadTimeout: callWithin, WriteTimeout: callWithin + time.Second, MaxHeaderBytes: maxHead,
		ConnState: crowd.state, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	s.http.SetKeepAlivesEnabled(false)
	go s.http.Serve(crowd)
	return s, nil
}

// Stand puts a courier behind the address.
func (s *Server) Stand(c Courier) { s.courier.Store(&c) }

// Fleet is what a courier knows of the others.
type Fleet interface {
	Look() any // for JSON
	Gone(name string)
	Shared() any // for JSON; nil where limits are not shared
}

// Know puts a fleet behind the address; without one there is no such call.
func (s *Server) Know(f Fleet) { s.fleet.Store(&f) }

func (s *Server) peers(w http.ResponseWriter, r *http.Request) {
	f := s.fleet.Load()
	if f == nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode((*f).Look())
}

func (s *Server) commons(w http.ResponseWriter, r *http.Request) {
	var shared any
	if f := s.fleet.Load(); f != nil {
		shared = (*f).Shared()
	}
	if shared == nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(shared)
}

func (s *Server) gone(w http.ResponseWriter, r *http.Request) {
	f := s.fleet.Load()
	if f == nil {
		http.NotFound(w, r)
		return
	}
	s.log.Info("call", "what", r.URL.Path, "from", r.RemoteAddr)
	(*f).Gone(r.PathValue("name"))
	io.WriteString(w, "done\n")
}

// Close ends it.
func (s *Server) Close() error { return s.http.Close() }

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", s.status)
	mux.HandleFunc("GET /status/metrics", s.figures)
	for verb, out := range map[string]bool{"enter": true, "exit": false} {
		mux.HandleFunc("POST /maintenance/"+verb+"/{id}", func(w http.ResponseWriter, r *http.Request) {
			s.ask(w, r, Maintain{r.PathValue("id"), out})
		})
	}
	mux.HandleFunc("GET /peers", s.peers)
	mux.HandleFunc("GET /commons", s.commons)
	mux.HandleFunc("POST /peers/gone/{name}", s.gone)
	mux.HandleFunc("POST /standby", func(w http.ResponseWriter, r *http.Request) { s.ask(w, r, Away{true}) })
	mux.HandleFunc("POST /active", func(w http.ResponseWriter, r *http.Request) { s.ask(w, r, Away{false}) })
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

func (s *Server) behind() Courier {
	if c := s.courier.Load(); c != nil {
		return *c
	}
	return nil
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	if c := s.behind(); c == nil || !c.Serving() {
		http.Error(w, "takes no clients", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "takes clients\n")
}

func (s *Server) figures(w http.ResponseWriter, _ *http.Request) {
	var f *Figures
	if c := s.behind(); c != nil {
		f = c.Figures()
	}
	if f == nil {
		http.Error(w, "nothing is counted yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(f)
}

func (s *Server) ask(w http.ResponseWriter, r *http.Request, what any) {
	c := s.behind()
	if c == nil {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
	defer cancel()
	err := c.Ask(ctx, what)
	s.log.Info("call", "what", r.URL.Path, "from", r.RemoteAddr, "fault", err)
	switch {
	case errors.Is(err, ErrUnknown):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		io.WriteString(w, "done\n")
	}
}

// crowd bounds the connections: where one more comes, that which has brought no whole call for longest is closed.
type crowd struct {
	net.Listener
	most  int
	mu    sync.Mutex
	order []net.Conn        // oldest first
	asks  map[net.Conn]bool // brought something
}

func (c *crowd) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.order = append(c.order, conn)
	var dumb net.Conn
	if len(c.order) > c.most {
		dumb = c.order[0]
		for _, o := range c.order[:len(c.order)-1] { // one that brings nothing goes before one that has begun a call
			if !c.asks[o] {
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
func (c *crowd) drop(conn net.Conn) {
	delete(c.asks, conn)
	for i, o := range c.order {
		if o == conn {
			c.order = append(c.order[:i:i], c.order[i+1:]...)
			return
		}
	}
}

func (c *crowd) state(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		if slices.Contains(c.order, conn) {
			c.asks[conn] = true
		}
	case http.StateClosed, http.StateHijacked:
		c.drop(conn)
	}
}
