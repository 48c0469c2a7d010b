package spool

import (
	"errors"
	"fmt"
	"math/rand"
	"testing"
)

// countingFile counts the bytes written to the segments of a spool.
type countingFile struct {
	segmentFile
	written *int64
}

func (f countingFile) Write(b []byte) (int, error) {
	n, err := f.segmentFile.Write(b)
	*f.written += int64(n)
	return n, err
}

// errTooManySegments ends a compaction that would go on for ever.
var errTooManySegments = errors.New("too many segments for one operation")

// writeCounter counts what a spool writes, and fails an operation that starts more than maxSegments segments.
type writeCounter struct {
	segments, maxSegments int
	written               int64
}

func (c *writeCounter) create(path string) (segmentFile, error) {
	if c.segments++; c.segments > c.maxSegments {
		return nil, errTooManySegments
	}
	file, err := createSegment(path)
	return countingFile{file, &c.written}, err
}

// operation runs one operation of a spool, which may start maxSegments segments.
func (c *writeCounter) operation(t *testing.T, s *Spool, name string, run func() error) error {
	t.Helper()
	c.segments = 0
	err := run()
	if errors.Is(errors.Join(err, s.TakeCompactionError()), errTooManySegments) {
		t.Fatalf("%s started more than %d segments: it does not end", name, c.maxSegments)
	}
	return err
}

const (
	heldMessages  = 18
	heldBodyBytes = 64_000
	formerLimit   = 3_000_000
)

// loweredLimits are limits of which the highest leaves less than a quarter of it free beside the held messages, and the lowest are below
// one message, as after a configuration with a tiny limit from which the other files of the folder are taken off.
var loweredLimits = []int64{1_500_000, 1_300_000, 1_000_000, 300_000, 10_000, 0, -300_000}

// openHolding returns a spool that holds heldMessages messages, and the counter of what it writes.
func openHolding(t *testing.T, dir string) (*Spool, *writeCounter) {
	t.Helper()
	s, _, _ := open(t, dir, formerLimit)
	counter := &writeCounter{maxSegments: 1000}
	s.create = counter.create
	for i := range heldMessages {
		must(t, s.Append(&Message{ID: fmt.Sprint("held-", i), Body: make([]byte, heldBodyBytes)}))
	}
	counter.maxSegments = 3 * heldMessages
	return s, counter
}

// TestLowerLimitEndsAndKeepsMessages guards against a courier that hangs after a reload with a lower disk_mb: compaction went on for as long
// as more than three quarters of the limit were used, and live messages alone were more than that. What is held must stay, nothing new
// is taken until it fits, and then messages are taken again.
func TestLowerLimitEndsAndKeepsMessages(t *testing.T) {
	for _, limit := range loweredLimits {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			dir := t.TempDir()
			s, counter := openHolding(t, dir)
			s.Resize(limit)
			for i := range heldMessages {
				id := fmt.Sprint("held-", i)
				must(t, counter.operation(t, s, "BeginAttempt", func() error { return s.BeginAttempt(id, Attempt{Endpoint: "endpoint"}) }),
					counter.operation(t, s, "FinishAttempt", func() error { return s.FinishAttempt(id, 0, "unreachable") }))
			}
			if err := counter.operation(t, s, "Append", func() error { return s.Append(&Message{ID: "new", Body: make([]byte, 100)}) }); !errors.Is(err, ErrFull) {
				t.Fatalf("a message was accepted beside more than half of the limit: %v", err)
			}
			must(t, s.Close())
			s, held, faults := open(t, dir, limit)
			if len(held) != heldMessages || len(faults) > 0 {
				t.Fatalf("%d of %d messages were restored, %v", len(held), heldMessages, faults)
			}
			for _, message := range held {
				if len(message.Attempts) != 1 || len(message.Body) != heldBodyBytes {
					t.Fatalf("%s was restored with %d attempts and %d bytes", message.ID, len(message.Attempts), len(message.Body))
				}
				must(t, s.Remove(message.ID))
			}
			if limit < 100_000 {
				return // too small for any message beside the compaction's segment
			}
			must(t, s.Append(&Message{ID: "new", Body: make([]byte, 100)}))
			if s.Size() > limit {
				t.Errorf("the directory holds %d bytes, the limit is %d", s.Size(), limit)
			}
		})
	}
}

// TestUpdatesAboveLimitCostLittle: where live messages alone are more than three quarters of the limit, an update must not rewrite them
// all each time; what is written is a multiple of what is new, and garbage stays a small part of what is held.
func TestUpdatesAboveLimitCostLittle(t *testing.T) {
	const rounds = 400
	for _, limit := range loweredLimits {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			s, counter := openHolding(t, t.TempDir())
			s.Resize(limit)
			held := s.Size()
			counter.written = 0
			appended := int64(0)
			for round := range rounds {
				id := fmt.Sprint("held-", round%heldMessages)
				attempt := Attempt{Endpoint: "endpoint", SentAt: 1}
				appended += int64(len(encodeUpdate(kindAttempt, update{ID: id, NewAttempt: &attempt})) + recordHeaderSize)
				must(t, counter.operation(t, s, "BeginAttempt", func() error { return s.BeginAttempt(id, attempt) }))
			}
			if most := 2*held + 2*segmentsPerDir*appended; counter.written > most {
				t.Errorf("%d updates of %d bytes beside %d held bytes wrote %d bytes, want %d at most", rounds, appended, held, counter.written, most)
			}
			if most := held + held/8 + appended; s.Size() > most {
				t.Errorf("the directory grew from %d to %d bytes by updates of %d bytes", held, s.Size(), appended)
			}
		})
	}
}

// TestChangingLimitLosesNothing changes the limit at random between operations and restarts: each operation must end, every live message is
// kept, and none that was removed comes back.
func TestChangingLimitLosesNothing(t *testing.T) {
	dir := t.TempDir()
	limits := []int64{400_000, 200_000, 100_000, 30_000, 5_000, -1}
	rng := rand.New(rand.NewSource(1))
	s, _, _ := open(t, dir, limits[0])
	counter := &writeCounter{maxSegments: 2000}
	s.create = counter.create
	live := map[string]bool{}
	var ids []string
	accepted, full := 0, 0
	for i := range 10_000 {
		limit := limits[rng.Intn(len(limits))]
		switch n := rng.Intn(200); {
		case n == 0:
			s.Resize(limit)
		case n == 1:
			must(t, s.Close())
			var restored []*Message
			s, restored, _ = open(t, dir, limit)
			s.create = counter.create
			if len(restored) != len(live) {
				t.Fatalf("after %d operations %d of %d messages were restored", i, len(restored), len(live))
			}
			for _, message := range restored {
				if !live[message.ID] {
					t.Fatalf("%s was removed and came back", message.ID)
				}
			}
		case n < 90 || len(ids) == 0:
			id := fmt.Sprint("message-", i)
			err := counter.operation(t, s, "Append", func() error { return s.Append(&Message{ID: id, Body: make([]byte, rng.Intn(4000))}) })
			if errors.Is(err, ErrFull) {
				full++
				continue
			}
			must(t, err)
			accepted++
			live[id] = true
			ids = append(ids, id)
		case n < 130:
			id := ids[rng.Intn(len(ids))]
			must(t, counter.operation(t, s, "BeginAttempt", func() error { return s.BeginAttempt(id, Attempt{Endpoint: "endpoint"}) }))
		default:
			index := rng.Intn(len(ids))
			id := ids[index]
			must(t, counter.operation(t, s, "Remove", func() error { return s.RemoveAndRemember(id, int64(i)) }))
			delete(live, id)
			ids = append(ids[:index], ids[index+1:]...)
		}
	}
	if accepted < 100 || full < 100 {
		t.Errorf("%d messages were accepted and %d not: the limits were hardly tested", accepted, full)
	}
}

// TestUpdateAboveLimitMovesOneSegment guards against an update that waits for a whole pass over what is held: after the limit was lowered,
// one operation may move one segment, of the size that segments had under the former limit, and not all of them.
func TestUpdateAboveLimitMovesOneSegment(t *testing.T) {
	for _, limit := range loweredLimits {
		if limit/2 > heldMessages/2*heldBodyBytes {
			continue // half of the messages fit this limit
		}
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			s, counter := openHolding(t, t.TempDir())
			formerSegment := 2 * s.segmentSize // a segment may exceed its size by its last record, which has that size at most
			for i := 0; i < heldMessages; i += 2 {
				must(t, s.Remove(fmt.Sprint("held-", i)))
			}
			s.Resize(limit)
			for round := range 20 {
				counter.written = 0
				must(t, counter.operation(t, s, "BeginAttempt", func() error { return s.BeginAttempt("held-1", Attempt{Endpoint: "endpoint"}) }))
				if counter.written > formerSegment+1000 {
					t.Fatalf("update %d wrote %d bytes, want one segment of %d at most", round, counter.written, formerSegment)
				}
			}
		})
	}
}
