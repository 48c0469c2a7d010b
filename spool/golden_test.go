package spool

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"pineport/testbed/golden"
)

// recordedStates puts messages of every state into a spool: untried, in flight, with each outcome, ended with their notice
// unconfirmed, and over.
func recordedStates(t *testing.T, s *Spool) {
	t.Helper()
	check := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	take := func(id string) {
		t.Helper()
		check(s.Append(&Message{ID: id, Class: "order", Destination: 7, Tenant: "shop", OrderingKey: "key-1", IdempotencyKey: "mark-1", Resubmitted: true, Deadline: 1_800_000_000_000_000,
			Body: []byte("body of\r\n" + id)}))
	}
	take("untried")
	take("in-flight")
	check(s.BeginAttempt("in-flight", Attempt{Endpoint: "s-1", Zone: 2, SentAt: 1_700_000_000_000_000}))
	for _, outcome := range []string{"failure", "full", "timed_out", "unreachable", "broken", "withdrawn", "void"} {
		take(outcome)
		check(s.BeginAttempt(outcome, Attempt{Endpoint: "s-1", Zone: 2, SentAt: 1_700_000_000_000_001}))
		check(s.FinishAttempt(outcome, 0, outcome))
		check(s.BeginAttempt(outcome, Attempt{Endpoint: "s-2", SentAt: 1_700_000_000_000_002}))
	}
	take("rejected")
	check(s.Finish("rejected", "bounced", 250))
	take("failed")
	check(s.Finish("failed", "terminated", 0))
	take("over")
	check(s.Remove("over"))
}

// TestSegmentIsAsRecorded: messages of every state are written byte by byte as recorded; the recorded segment, which an earlier
// program wrote, reads as the same messages.
func TestSegmentIsAsRecorded(t *testing.T) {
	golden.Tagged(t, Message{})
	golden.Tagged(t, update{})
	dir := t.TempDir()
	s, _, _, err := Open(dir, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	recordedStates(t, s)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	segments, err := filepath.Glob(filepath.Join(dir, "*.seg"))
	if err != nil || len(segments) != 1 {
		t.Fatalf("%v, %v", segments, err)
	}
	content, err := os.ReadFile(segments[0])
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "segment.golden", content)

	recorded, err := os.ReadFile("testdata/segment.golden")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(segments[0], recorded, 0o600); err != nil {
		t.Fatal(err)
	}
	unfinished, faults, err := Inspect(dir)
	if err != nil || len(faults) > 0 {
		t.Fatalf("%v, %v", err, faults)
	}
	var text bytes.Buffer
	for _, message := range unfinished {
		line, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		text.Write(append(line, '\n'))
		text.Write(append(message.Body, '\n'))
	}
	golden.Check(t, "messages.golden", text.Bytes())
}
