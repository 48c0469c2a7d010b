package spool

import (
	"fmt"
	"math/rand"
	"testing"
)

func rememberedIn(s *Spool) map[string]int64 {
	until := map[string]int64{}
	for _, remembered := range s.Remembered() {
		until[remembered.ID] = remembered.Until
	}
	return until
}

// TestRememberedIDs checks that the ids of removed messages are recognized at the next start, through compactions and failed writes, until
// they are forgotten. Failure: after a restart or an upgrade, a message that had run was accepted again when its id came again.
func TestRememberedIDs(t *testing.T) {
	const limit, count = 100_000, 60
	dir := t.TempDir()
	s, _, _ := open(t, dir, limit)
	want := map[string]int64{}
	rng := rand.New(rand.NewSource(1))
	for i := range count {
		id := fmt.Sprintf("message-%d", i)
		must(t, s.Append(&Message{ID: id, Body: make([]byte, 1000)}), s.RemoveAndRemember(id, int64(1000+i)))
		want[id] = int64(1000 + i)
		for n := range 10 { // garbage, so that the segments are compacted
			other := fmt.Sprintf("other-%d-%d", i, n)
			must(t, s.Append(&Message{ID: other, Body: make([]byte, rng.Intn(3000))}), s.Remove(other))
		}
	}
	if s.segments[0].number < 10 {
		t.Fatalf("the oldest segment is number %d: nothing was compacted", s.segments[0].number)
	}
	for _, id := range []string{"message-3", "message-50"} {
		s.Forget(id)
		delete(want, id)
	}
	must(t, s.Close())
	reopened, messages, faults := open(t, dir, limit)
	got := rememberedIn(reopened)
	for id, until := range want {
		if got[id] != until {
			t.Errorf("%s is remembered until %d, want %d", id, got[id], until)
		}
	}
	if len(messages) > 0 || len(faults) > 0 || reopened.Size() > limit {
		t.Errorf("%d messages, faults %v, %d bytes", len(messages), faults, reopened.Size())
	}
}

// TestRememberedIDAfterFailedWrite: a removal whose write failed is remembered too.
func TestRememberedIDAfterFailedWrite(t *testing.T) {
	dir := t.TempDir()
	s, _, _ := open(t, dir, 100_000)
	injector := &faultInjector{rng: rand.New(rand.NewSource(1))}
	s.create = injector.create
	must(t, s.startSegment(s.segments[0].number+1), s.Append(&Message{ID: "one"}))
	injector.failWrites = true
	if err := s.RemoveAndRemember("one", 7); err == nil || !s.InBacklog("one") {
		t.Fatalf("the write did not fail: %v", err)
	}
	injector.failWrites = false
	must(t, s.Flush(), s.Close())
	reopened, messages, _ := open(t, dir, 100_000)
	if got := rememberedIn(reopened)["one"]; got != 7 || len(messages) > 0 {
		t.Errorf("remembered until %d, want 7; %d messages", got, len(messages))
	}
}

// TestRememberedIDsAreBounded: ids take up to their share of the size limit, and the newest are kept.
func TestRememberedIDsAreBounded(t *testing.T) {
	const limit = 64_000
	s, _, _ := open(t, t.TempDir(), limit)
	for i := range 500 {
		id := fmt.Sprintf("message-%d", i)
		must(t, s.Append(&Message{ID: id}), s.RemoveAndRemember(id, 9))
	}
	remembered := rememberedIn(s)
	if s.remembered.bytes > limit/rememberedShare || len(s.remembered.order) > len(remembered)+1 || remembered["message-499"] != 9 {
		t.Errorf("%d ids remembered in %d bytes, %d in order", len(remembered), s.remembered.bytes, len(s.remembered.order))
	}
	if s.liveBytes != s.remembered.bytes {
		t.Errorf("%d bytes count as live, of which %d are ids", s.liveBytes, s.remembered.bytes)
	}
}
