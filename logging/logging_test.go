package logging

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// sink is a reader that may be stuck.
type sink struct {
	mu    sync.Mutex
	b     bytes.Buffer
	stuck chan struct{}
}

func (s *sink) Write(p []byte) (int, error) {
	if s.stuck != nil {
		<-s.stuck
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *sink) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// TestLevels of components, and changed while it runs; a name that is no level changes nothing.
func TestLevels(t *testing.T) {
	var out sink
	l, err := New(&out, Options{Level: "info", Levels: map[string]string{"spool": "debug", "links": "error"}, QueueSize: 100})
	if err != nil {
		t.Fatal(err)
	}
	spool, links := l.With(Component, "spool"), l.With(Component, "links")
	l.Debug("a1")
	spool.Debug("a2")
	links.Warn("a3")
	if err := l.SetLevels("loud", nil); err == nil {
		t.Error("taken")
	}
	if err := l.SetLevels("debug", nil); err != nil {
		t.Error(err)
	}
	l.Debug("a4")
	links.Debug("a5")
	l.Close(time.Second)
	for text, want := range map[string]bool{"a1": false, "a2": true, "a3": false, "a4": true, "a5": true} {
		if strings.Contains(out.String(), text) != want {
			t.Errorf("%s: %v was wanted in\n%s", text, want, out.String())
		}
	}
	if _, err := New(&out, Options{Level: "loud"}); err == nil {
		t.Error("taken")
	}
}

// TestRepeats: the same line is written once and counted; one with another value is another line. Every line is JSON.
func TestRepeats(t *testing.T) {
	var out sink
	l, err := New(&out, Options{Level: "info", JSON: true, RepeatWindow: time.Hour, QueueSize: 100})
	if err != nil {
		t.Fatal(err)
	}
	for range 50 {
		l.Warn("endpoint list poll failed", "fault", "refused")
	}
	l.Warn("endpoint list poll failed", "fault", "cut off")
	l.Close(time.Second)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 3 {
		t.Fatalf("%d lines:\n%s", len(lines), out.String())
	}
	var last map[string]any
	for _, line := range lines {
		last = nil
		if err := json.Unmarshal([]byte(line), &last); err != nil {
			t.Fatal(line, err)
		}
	}
	if last["repeated"] != 49.0 || last["fault"] != "refused" {
		t.Errorf("%v", last)
	}
}

// TestStuckReader: a reader that does not read holds up nobody under a flood; what was dropped is counted, and told once it
// reads again.
func TestStuckReader(t *testing.T) {
	out := sink{stuck: make(chan struct{})}
	l, err := New(&out, Options{Level: "info", RepeatWindow: time.Second, QueueSize: 64})
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	for i := range 20000 {
		l.Info("flood", "i", i)
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("took %v", took)
	}
	dropped := l.Dropped()
	if dropped < 19000 {
		t.Errorf("%d dropped", dropped)
	}
	close(out.stuck)
	for deadline := time.Now().Add(5 * time.Second); !strings.Contains(out.String(), "log lines dropped"); {
		if time.Now().After(deadline) {
			t.Fatalf("not reported:\n%.500s", out.String())
		}
		l.Info("still here", "at", time.Now())
		time.Sleep(10 * time.Millisecond)
	}
	l.Close(time.Second)
	logged := int64(0)
	if _, text, ok := strings.Cut(out.String(), "count="); ok {
		fmt.Sscan(text, &logged)
	}
	if logged < dropped || logged > l.Dropped() { // a few more may have been dropped since it was stuck
		t.Errorf("%d reported, %d dropped", logged, dropped)
	}
}
