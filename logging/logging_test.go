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

// sink is a log output that can block.
type sink struct {
	mu      sync.Mutex
	buffer  bytes.Buffer
	unblock chan struct{} // if set, Write blocks until it is closed
}

func (s *sink) Write(p []byte) (int, error) {
	if s.unblock != nil {
		<-s.unblock
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(p)
}

func (s *sink) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.String()
}

// TestLevels covers levels per component and their change at run time. An invalid level must change nothing.
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
			t.Errorf("%s: in the log: want %v; the log is\n%s", text, want, out.String())
		}
	}
	if _, err := New(&out, Options{Level: "loud"}); err == nil {
		t.Error("taken")
	}
}

// TestRepeats: repeats of a line must be counted and reported once. A line with another attribute value is not a repeat. Every
// line must be valid JSON.
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

// TestBlockedWriter: callers must not block while the output blocks, even for 20000 lines. The dropped lines must be counted, and
// their number logged once the output accepts lines again.
func TestBlockedWriter(t *testing.T) {
	out := sink{unblock: make(chan struct{})}
	l, err := New(&out, Options{Level: "info", RepeatWindow: time.Second, QueueSize: 64})
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	for i := range 20000 {
		l.Info("flood", "i", i)
	}
	if elapsed := time.Since(start); elapsed > 5*time.Second {
		t.Errorf("logging 20000 lines took %v", elapsed)
	}
	dropped := l.Dropped()
	if dropped < 19000 {
		t.Errorf("%d lines dropped, want at least 19000", dropped)
	}
	close(out.unblock)
	for deadline := time.Now().Add(5 * time.Second); !strings.Contains(out.String(), "log lines dropped"); {
		if time.Now().After(deadline) {
			t.Fatalf("the dropped lines are not logged:\n%.500s", out.String())
		}
		l.Info("still running", "at", time.Now())
		time.Sleep(10 * time.Millisecond)
	}
	l.Close(time.Second)
	reported := int64(0)
	if _, text, ok := strings.Cut(out.String(), "count="); ok {
		fmt.Sscan(text, &reported)
	}
	if reported < dropped || reported > l.Dropped() { // some lines may have been dropped after the output was unblocked
		t.Errorf("%d lines logged as dropped, %d were dropped", reported, dropped)
	}
}
