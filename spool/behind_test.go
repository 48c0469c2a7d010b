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

// faultyFile is a segment file with injected write and truncation faults.
type faultyFile struct {
	segmentFile
	faults *faultInjector
}

// faultInjector decides which file operations fail.
type faultInjector struct {
	rng           *rand.Rand
	failWrites    bool // all writes fail, and creating a segment fails at random
	failTruncates bool
	injected      int // faults injected so far
	partialWrites int // failed writes that wrote part of their bytes
}

func (injector *faultInjector) create(path string) (segmentFile, error) {
	if injector.failWrites && injector.rng.Intn(2) == 0 {
		injector.injected++
		return nil, syscall.ENOSPC
	}
	file, err := createSegment(path)
	return faultyFile{file, injector}, err
}

func (f faultyFile) Write(b []byte) (int, error) {
	if !f.faults.failWrites {
		return f.segmentFile.Write(b)
	}
	f.faults.injected++
	n := 0
	if f.faults.rng.Intn(2) == 0 {
		f.faults.partialWrites++
		n, _ = f.segmentFile.Write(b[:f.faults.rng.Intn(len(b))])
	}
	return n, []error{syscall.ENOSPC, syscall.EIO}[f.faults.rng.Intn(2)]
}

func (f faultyFile) Truncate(size int64) error {
	if f.faults.failTruncates {
		f.faults.injected++
		return syscall.EIO
	}
	return f.segmentFile.Truncate(size)
}

// TestWriteFaultsLoseNothing injects faults into creating, writing and truncating segments. After the faults end, the
// spool must hold every accepted message with its attempts and its end, and no refused or removed message. If a
// partial record could not be truncated, faults may be reported, and messages marked as possibly sent are not compared.
func TestWriteFaultsLoseNothing(t *testing.T) {
	injected, partialWrites := 0, 0
	for seed := range int64(200) {
		rng := rand.New(rand.NewSource(seed))
		injector := &faultInjector{rng: rng}
		dir := t.TempDir()
		s, _, _ := open(t, dir, 300_000)
		s.create = injector.create
		if err := s.startSegment(s.segments[len(s.segments)-1].number + 1); err != nil {
			t.Fatal(err)
		}
		allowTruncateFaults := seed%4 == 0
		want := map[string]*Message{}
		var ids []string
		for step := range 300 {
			if step%20 == 0 {
				injector.failWrites = rng.Intn(2) == 0
				injector.failTruncates = injector.failWrites && allowTruncateFaults
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
				} else if !injector.failWrites {
					t.Fatalf("seed %d: append failed without an injected fault: %v", seed, err)
				}
			case n < 5:
				_ = s.BeginAttempt(id, Attempt{Endpoint: "e", SentAt: int64(step)})
				if len(message.Attempts) == 0 || message.Attempts[len(message.Attempts)-1].SentAt != int64(step) {
					t.Fatalf("seed %d: the attempt is missing in memory", seed)
				}
			case n < 7 && len(message.Attempts) > 0:
				_ = s.FinishAttempt(id, len(message.Attempts)-1, "broken")
			case n < 8:
				_ = s.Finish(id, "bounced", 7)
			case n < 9:
				if s.Discard(id) == nil {
					delete(want, id)
					ids = without(ids, id)
				} else if !injector.failWrites {
					t.Fatalf("seed %d: discard failed without an injected fault", seed)
				}
			default:
				_ = s.Remove(id)
				delete(want, id)
				ids = without(ids, id)
			}
		}
		injector.failWrites, injector.failTruncates = false, false
		if err := s.Flush(); err != nil || s.HasBacklog() {
			t.Fatalf("seed %d: changes are still in memory only after the faults ended: %v", seed, err)
		}
		injected, partialWrites = injected+injector.injected, partialWrites+injector.partialWrites
		_, got, faults := open(t, dir, 300_000)
		if len(faults) > 0 && !allowTruncateFaults {
			t.Fatalf("seed %d: %v", seed, faults)
		}
		if len(got) != len(want) {
			t.Fatalf("seed %d: %d messages, want %d", seed, len(got), len(want))
		}
		for _, message := range got {
			if allowTruncateFaults && len(message.Attempts) > 0 && message.Attempts[len(message.Attempts)-1] == (Attempt{}) {
				continue
			}
			if !reflect.DeepEqual(normalized(message), normalized(want[message.ID])) {
				t.Fatalf("seed %d: %+v, want %+v", seed, message, want[message.ID])
			}
		}
	}
	if injected < 1000 || partialWrites < 100 {
		t.Errorf("too few faults: %d injected, %d of them in the middle of a write", injected, partialWrites)
	}
}

// normalized returns a copy of a message in which empty and nil slices are the same.
func normalized(message *Message) Message {
	copied := *message
	copied.Attempts = append([]Attempt{}, message.Attempts...)
	copied.Body = append([]byte{}, message.Body...)
	return copied
}

func without(ids []string, id string) (rest []string) {
	for _, other := range ids {
		if other != id {
			rest = append(rest, other)
		}
	}
	return rest
}

// TestAppendSucceedsDespiteFailedCompaction: when the compaction after an append fails, Append must still report
// that the message is stored. Only ErrFull is allowed as an error, and the directory must stay within its limit.
func TestAppendSucceedsDespiteFailedCompaction(t *testing.T) {
	const limit = 100_000
	s, _, _ := open(t, t.TempDir(), limit)
	s.remove = func(string) error { return syscall.EIO }
	faults := 0
	for i := range 500 {
		id := fmt.Sprint(i)
		err := s.Append(&Message{ID: id, Body: make([]byte, 1500)})
		if stored := s.entries[id] != nil; stored != (err == nil) || err != nil && !errors.Is(err, ErrFull) {
			t.Fatalf("stored: %v, but Append returned %v", stored, err)
		}
		if err == nil {
			must(t, s.Remove(id))
		}
		if s.TakeCompactionError() != nil {
			faults++
		}
	}
	if faults == 0 || s.Size() > limit {
		t.Errorf("%d compactions failed, the directory holds %d bytes", faults, s.Size())
	}
	s.remove = os.Remove
	must(t, s.Append(&Message{ID: "later"}))
}
