package spool

import (
	"errors"
	"fmt"
	"math/rand"
	"os"
	"reflect"
	"syscall"
	"testing"
)

// moodyFile is a segment whose folder fails at times.
type moodyFile struct {
	segmentFile
	mood *mood
}

// mood is how the folder does.
type mood struct {
	rng     *rand.Rand
	fails   bool // writes, and creating segments
	noCuts  bool // cutting off
	struck  int
	partial int // writes of which a part was done
}

func (m *mood) create(path string) (segmentFile, error) {
	if m.fails && m.rng.Intn(2) == 0 {
		m.struck++
		return nil, syscall.ENOSPC
	}
	file, err := createSegment(path)
	return moodyFile{file, m}, err
}

func (f moodyFile) Write(b []byte) (int, error) {
	if !f.mood.fails {
		return f.segmentFile.Write(b)
	}
	f.mood.struck++
	n := 0
	if f.mood.rng.Intn(2) == 0 {
		f.mood.partial++
		n, _ = f.segmentFile.Write(b[:f.mood.rng.Intn(len(b))])
	}
	return n, []error{syscall.ENOSPC, syscall.EIO}[f.mood.rng.Intn(2)]
}

func (f moodyFile) Truncate(size int64) error {
	if f.mood.noCuts {
		f.mood.struck++
		return syscall.EIO
	}
	return f.segmentFile.Truncate(size)
}

// TestFolderThatFailsForAWhile: whatever fails, for however long, what is stored afterwards is what was asked for: a message that was refused is
// not there, one that was taken on is, with its attempts and its end, and one that is over is not. Where half an entry could not be cut off,
// messages may pass for perhaps sent, no more.
func TestFolderThatFailsForAWhile(t *testing.T) {
	struck, partial := 0, 0
	for seed := range int64(200) {
		rng := rand.New(rand.NewSource(seed))
		m := &mood{rng: rng}
		dir := t.TempDir()
		s, _, _ := open(t, dir, 300_000)
		s.create = m.create
		if err := s.startSegment(s.segments[len(s.segments)-1].number + 1); err != nil {
			t.Fatal(err)
		}
		cutsFail := seed%4 == 0
		want := map[string]*Message{}
		var ids []string
		for step := range 300 {
			if step%20 == 0 {
				m.fails = rng.Intn(2) == 0
				m.noCuts = m.fails && cutsFail
			}
			id := fmt.Sprint("m", step)
			if len(ids) > 0 {
				id = ids[rng.Intn(len(ids))]
			}
			message := want[id]
			switch n := rng.Intn(10); {
			case n < 3 || len(ids) == 0:
				id = fmt.Sprint("m", step)
				stored := &Message{ID: id, Body: make([]byte, rng.Intn(300))}
				if err := s.Append(stored); err == nil {
					want[id], ids = stored, append(ids, id)
				} else if !m.fails {
					t.Fatalf("seed %d: refused by a folder that is well: %v", seed, err)
				}
			case n < 5:
				_ = s.BeginAttempt(id, Attempt{Endpoint: "e", SentAt: int64(step)})
				if len(message.Attempts) == 0 || message.Attempts[len(message.Attempts)-1].SentAt != int64(step) {
					t.Fatalf("seed %d: the attempt is not known", seed)
				}
			case n < 7 && len(message.Attempts) > 0:
				_ = s.FinishAttempt(id, len(message.Attempts)-1, "broken")
			case n < 8:
				_ = s.Finish(id, "bounced", 7)
			case n < 9:
				if s.Discard(id) == nil {
					delete(want, id)
					ids = without(ids, id)
				} else if !m.fails {
					t.Fatalf("seed %d: not discarded in a folder that is well", seed)
				}
			default:
				_ = s.Remove(id)
				delete(want, id)
				ids = without(ids, id)
			}
		}
		m.fails, m.noCuts = false, false
		if err := s.Flush(); err != nil || s.HasBacklog() {
			t.Fatalf("seed %d: not written by a folder that is well: %v", seed, err)
		}
		struck, partial = struck+m.struck, partial+m.partial
		_, got, faults := open(t, dir, 300_000)
		if len(faults) > 0 && !cutsFail {
			t.Fatalf("seed %d: %v", seed, faults)
		}
		if len(got) != len(want) {
			t.Fatalf("seed %d: %d messages, want %d", seed, len(got), len(want))
		}
		for _, message := range got {
			if cutsFail && len(message.Attempts) > 0 && message.Attempts[len(message.Attempts)-1] == (Attempt{}) {
				continue
			}
			if !reflect.DeepEqual(normal(message), normal(want[message.ID])) {
				t.Fatalf("seed %d: %+v, want %+v", seed, message, want[message.ID])
			}
		}
	}
	if struck < 1000 || partial < 100 {
		t.Errorf("%d faults struck, %d in the middle of a write", struck, partial)
	}
}

func normal(message *Message) Message {
	same := *message
	same.Attempts = append([]Attempt{}, message.Attempts...)
	same.Body = append([]byte{}, message.Body...)
	return same
}

func without(ids []string, id string) (rest []string) {
	for _, other := range ids {
		if other != id {
			rest = append(rest, other)
		}
	}
	return rest
}

// TestCompactionThatFailsRefusesNothing: the message behind which a compaction fails is in the folder, and its client hears so; the folder stays
// within its limit all the same.
func TestCompactionThatFailsRefusesNothing(t *testing.T) {
	const limit = 100_000
	s, _, _ := open(t, t.TempDir(), limit)
	s.remove = func(string) error { return syscall.EIO }
	faults := 0
	for i := range 500 {
		id := fmt.Sprint(i)
		err := s.Append(&Message{ID: id, Body: make([]byte, 1500)})
		if stored := s.entries[id] != nil; stored != (err == nil) || err != nil && !errors.Is(err, ErrFull) {
			t.Fatalf("stored %v, told %v", stored, err)
		}
		if err == nil {
			must(t, s.Remove(id))
		}
		if s.TakeCompactionError() != nil {
			faults++
		}
	}
	if faults == 0 || s.Size() > limit {
		t.Errorf("%d compactions failed, the folder holds %d bytes", faults, s.Size())
	}
	s.remove = os.Remove
	must(t, s.Append(&Message{ID: "later"}))
}
