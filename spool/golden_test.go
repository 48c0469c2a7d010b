package spool

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"pineport/testbed/golden"
)

// storeMessagesInEveryState stores a message in each possible state: without an attempt, with an attempt in flight, with
// each attempt outcome and a second attempt in flight, ended with an unconfirmed notice, and removed.
func storeMessagesInEveryState(t *testing.T, s *Spool) {
	t.Helper()
	check := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	appendMessage := func(id string) {
		t.Helper()
		check(s.Append(&Message{ID: id, Class: "order", Destination: 7, Tenant: "shop", OrderingKey: "key-1", IdempotencyKey: "mark-1", Resubmitted: true, Deadline: 1_800_000_000_000_000,
			Body: []byte("body of\r\n" + id)}))
	}
	appendMessage("untried")
	appendMessage("in-flight")
	check(s.BeginAttempt("in-flight", Attempt{Endpoint: "s-1", Zone: 2, SentAt: 1_700_000_000_000_000}))
	for _, outcome := range []string{"failure", "full", "timed_out", "unreachable", "broken", "withdrawn", "void"} {
		appendMessage(outcome)
		check(s.BeginAttempt(outcome, Attempt{Endpoint: "s-1", Zone: 2, SentAt: 1_700_000_000_000_001}))
		check(s.FinishAttempt(outcome, 0, outcome))
		check(s.BeginAttempt(outcome, Attempt{Endpoint: "s-2", SentAt: 1_700_000_000_000_002}))
	}
	appendMessage("rejected")
	check(s.Finish("rejected", "bounced", 250))
	appendMessage("failed")
	check(s.Finish("failed", "terminated", 0))
	appendMessage("over")
	check(s.Remove("over"))
}

// TestSegmentMatchesGolden: a segment with messages in every state must be byte-identical to the golden file. Reading
// the golden file, which stands for a segment of an earlier version, must return the same messages.
func TestSegmentMatchesGolden(t *testing.T) {
	golden.CheckTags(t, Message{})
	golden.CheckTags(t, update{})
	dir := t.TempDir()
	s, _, _, err := Open(dir, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	storeMessagesInEveryState(t, s)
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
