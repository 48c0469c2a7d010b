package spool

import (
	"errors"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

func open(t *testing.T, dir string, limit int64) (*Spool, []*Message, []error) {
	t.Helper()
	s, unfinished, faults, err := Open(dir, limit)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s, unfinished, faults
}

func must(t *testing.T, errs ...error) {
	t.Helper()
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
}

func TestComesBackAsItWas(t *testing.T) {
	dir := t.TempDir()
	s, _, _ := open(t, dir, 1e6)
	a := &Message{ID: "a", Class: "w", Destination: 3, Tenant: "p", OrderingKey: "k", IdempotencyKey: "m", Resubmitted: true, Deadline: 99, Body: []byte("\x00\r\n")}
	must(t, s.Append(a), s.Append(&Message{ID: "b"}), s.Append(&Message{ID: "c"}), s.Append(&Message{ID: "d"}),
		s.BeginAttempt("a", Attempt{Endpoint: "e", Zone: 1, SentAt: 5}), s.FinishAttempt("a", 0, "full"), s.BeginAttempt("a", Attempt{Endpoint: "f", SentAt: 6}),
		s.Remove("b"), s.Finish("c", "bounced", 70))
	if err := s.Append(&Message{ID: "a"}); err == nil {
		t.Error("taken twice")
	}
	_, got, faults := open(t, dir, 1e6)
	want := []*Message{{ID: "a", Number: 1, Class: "w", Destination: 3, Tenant: "p", OrderingKey: "k", IdempotencyKey: "m", Resubmitted: true, Deadline: 99, Body: []byte("\x00\r\n"),
		Attempts: []Attempt{{"e", 1, 5, "full"}, {"f", 0, 6, ""}}}, {ID: "c", Number: 3, FinalOutcome: "bounced", RetryAfterMs: 70, Body: []byte{}}, {ID: "d", Number: 4, Body: []byte{}}}
	if len(faults) > 0 || !reflect.DeepEqual(got, want) {
		t.Errorf("%v, %+v", faults, got)
	}
}

// TestCutAtEveryByte: whatever was written before the cut counts, and what comes after a restart is found again.
func TestCutAtEveryByte(t *testing.T) {
	dir := t.TempDir()
	s, _, _ := open(t, dir, 1e6)
	type mark struct {
		size int64
		held int
	}
	var marks []mark
	note := func(held int) { marks = append(marks, mark{s.segments[len(s.segments)-1].size, held}) }
	note(0)
	must(t, s.Append(&Message{ID: "a", Body: []byte("body")}))
	note(1)
	must(t, s.BeginAttempt("a", Attempt{Endpoint: "e"}))
	note(1)
	must(t, s.Append(&Message{ID: "b"}))
	note(2)
	must(t, s.Remove("a"))
	note(1)
	name := s.path(s.segments[len(s.segments)-1].number)
	whole, err := os.ReadFile(name)
	must(t, err)
	for cut := range whole {
		dir := t.TempDir()
		must(t, os.WriteFile(filepath.Join(dir, filepath.Base(name)), whole[:cut], 0o600))
		held, clean := 0, false
		for _, m := range marks {
			if int64(cut) >= m.size {
				held, clean = m.held, int64(cut) == m.size
			}
		}
		s, got, faults := open(t, dir, 1e6)
		if len(got) != held || (len(faults) == 0) != clean {
			t.Fatalf("cut at %d: %d messages and %v, want %d", cut, len(got), faults, held)
		}
		must(t, s.Append(&Message{ID: "later"}), s.Close())
		if _, got, faults := open(t, dir, 1e6); len(got) != held+1 || len(faults) > 0 && cut >= len(magic) {
			t.Fatalf("cut at %d: after another start %d messages, %v", cut, len(got), faults)
		}
	}
}

func TestDamageIsNamedAndSurvived(t *testing.T) {
	dir := t.TempDir()
	s, _, _ := open(t, dir, 1e6)
	must(t, s.Append(&Message{ID: "a"}), s.Append(&Message{ID: "b"}))
	name := s.path(s.segments[len(s.segments)-1].number)
	data, err := os.ReadFile(name)
	must(t, err)
	data[len(data)-1] ^= 1
	must(t, os.WriteFile(name, data, 0o600), os.WriteFile(filepath.Join(dir, "0000000000.seg"), []byte("PPS9what"), 0o600),
		os.WriteFile(filepath.Join(dir, "x.seg"), nil, 0o600))
	_, got, faults := open(t, dir, 1e6)
	if len(got) != 1 || len(faults) != 3 {
		t.Fatalf("%d messages, %v", len(got), faults)
	}
	if len(got[0].Attempts) != 1 || got[0].Attempts[0].Outcome != "" {
		t.Errorf("what was noted of it may be gone, yet it counts as never sent: %+v", got[0])
	}
}

// TestNeverOverItsLimit: the folder holds no more than it may at any write, nothing live is lost, and nothing
// that ended comes back, whatever the order of events.
func TestNeverOverItsLimit(t *testing.T) {
	const limit = 200_000
	dir := t.TempDir()
	s, _, _ := open(t, dir, limit)
	rng := rand.New(rand.NewSource(1))
	live := map[string]int{} // attempts
	var ids []string
	full := 0
	for i := range 20000 {
		switch n := rng.Intn(10); {
		case n < 4 || len(ids) == 0:
			id := fmt.Sprint("r", i)
			err := s.Append(&Message{ID: id, Body: make([]byte, rng.Intn(6000))})
			if errors.Is(err, ErrFull) {
				full++
				continue
			}
			must(t, err)
			live[id] = 0
			ids = append(ids, id)
		case n < 6:
			if id := ids[rng.Intn(len(ids))]; live[id] < 8 {
				must(t, s.BeginAttempt(id, Attempt{Endpoint: "endpoint"}), s.FinishAttempt(id, live[id], "unreachable"))
				live[id]++
			}
		default:
			k := rng.Intn(len(ids))
			must(t, s.Finish(ids[k], "bounced", 5), s.Remove(ids[k]))
			delete(live, ids[k])
			ids = append(ids[:k], ids[k+1:]...)
		}
		if i%10 == 0 {
			files, _ := filepath.Glob(filepath.Join(dir, "*"))
			total := int64(0)
			for _, name := range files {
				info, err := os.Stat(name)
				must(t, err)
				total += (info.Size() + 511) / 512 * 512
			}
			if total > limit || total != s.Size() {
				t.Fatalf("after %d events the folder holds %d, the spool counts %d", i, total, s.Size())
			}
		}
		if i%2500 == 0 {
			must(t, s.Close())
			var got []*Message
			var faults []error
			s, got, faults = open(t, dir, limit)
			if len(got) != len(live) || len(faults) > 0 {
				t.Fatalf("after %d events %d messages came back of %d, %v", i, len(got), len(live), faults)
			}
			for i, message := range got {
				if i > 0 && got[i-1].Number >= message.Number {
					t.Fatal("not in the order in which they were taken")
				}
				if attempts, ok := live[message.ID]; !ok || len(message.Attempts) != attempts {
					t.Fatalf("%s came back with %d attempts, want %d, %v", message.ID, len(message.Attempts), attempts, ok)
				}
			}
		}
	}
	if full == 0 || len(ids) == 0 {
		t.Error("the spool was never full")
	}
}
