// Package snapshot keeps what a courier's decisions have learned in one file that outlasts its process: versioned,
// checksummed, replaced whole, never half written. What of it to believe after a while is not decided here.
package snapshot

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"pineport/atomicfile"
	"pineport/dispatch"
)

// Name of the file, in the folder that lasts.
const Name = "learned.lore"

// A file is sealed; its body is CBOR.
const (
	magic    = "PPLL"
	version  = 2
	headSize = atomicfile.HeadSize
	block    = 512 // files count in whole blocks
)

// Why a file is not used; each is told with the file's name and what stood there.
var (
	ErrAbsent   = atomicfile.ErrAbsent
	ErrTorn     = atomicfile.ErrTorn
	ErrTooLarge = atomicfile.ErrTooLarge
	ErrOlder    = errors.New("of a version that is too old")
	ErrNewer    = errors.New("of a newer version")
	ErrStranger = errors.New("of another courier")
	ErrFuture   = errors.New("from the future: the clock went backwards")
	ErrSense    = errors.New("holds what cannot be")
)

// State is what a file holds.
type State struct {
	Courier string            `json:"Courier"`
	Lore    dispatch.Snapshot `json:"Lore"`
}

// body of version 2.
type body struct {
	Courier string            `cbor:"1,keyasint"`
	Lore    dispatch.Snapshot `cbor:"2,keyasint"`
}

// bodyV1 had no lore of connections and endpoints; what it has means the same.
type bodyV1 struct {
	Courier string                   `cbor:"1,keyasint"`
	At      dispatch.Micros          `cbor:"2,keyasint"`
	Routes  []dispatch.GroupSnapshot `cbor:"3,keyasint"`
	Took    dispatch.SumSnapshot     `cbor:"4,keyasint"`
}

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 12, MaxNestedLevels: 16,
		DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err) // options that are fixed here
	}
	return mode
}

// Encode makes a file's content of at most so many bytes. Where all does not fit, the routes that were called last are
// kept, and the endpoints that failed last.
func Encode(s State, limit int) ([]byte, error) {
	l := s.Lore
	l.Groups, l.RestingKeys = slices.Clone(l.Groups), nil
	slices.SortStableFunc(l.Groups, func(a, b dispatch.GroupSnapshot) int { return int(min(1, max(-1, b.LastCall-a.LastCall))) })
	for {
		text, err := encoder.Marshal(body{s.Courier, l})
		if err != nil {
			return nil, err
		}
		if len(text)+headSize <= limit {
			return atomicfile.Seal(magic, version, text), nil
		}
		if len(l.Groups) == 0 && len(l.Endpoints) == 0 {
			return nil, fmt.Errorf("%w: %d bytes, %d allowed", ErrTooLarge, len(text)+headSize, limit)
		}
		// A little less than what seems to fit, so that it does at the second try.
		part := 0.95 * float64(limit) / float64(len(text)+headSize)
		l.Groups = l.Groups[:int(part*float64(len(l.Groups)))]
		l.Endpoints = l.Endpoints[len(l.Endpoints)-int(part*float64(len(l.Endpoints))):]
	}
}

// Decode reads a file's content.
func Decode(content []byte) (State, error) {
	v, text, err := atomicfile.Open(magic, content)
	if err != nil {
		return State{}, err
	}
	var s State
	switch {
	case v > version:
		return s, fmt.Errorf("%w: %d, this program knows %d", ErrNewer, v, version)
	case v == 1:
		var b bodyV1
		if err := decoder.Unmarshal(text, &b); err != nil {
			return s, fmt.Errorf("%w: %v", ErrTorn, err)
		}
		s = State{b.Courier, dispatch.Snapshot{TakenAt: b.At, Groups: b.Routes, AnswerTimes: b.Took}}
	case v < 1:
		return s, fmt.Errorf("%w: %d", ErrOlder, v)
	default:
		var b body
		if err := decoder.Unmarshal(text, &b); err != nil {
			return s, fmt.Errorf("%w: %v", ErrTorn, err)
		}
		s = State(b)
	}
	if err := sane(s.Lore); err != nil {
		return State{}, err
	}
	return s, nil
}

// Bounds of what can be: wide, so that they only catch what would harm the decisions.
const (
	longest = dispatch.Micros(3600 * 1000 * 1000) // of a gap, or of a wait that is still to come
	largest = 1e9
)

// sane holds numbers against what can be. A checksum proves that a file is what was written, not that it made sense.
func sane(l dispatch.Snapshot) error {
	number := func(values ...float64) bool {
		for _, v := range values {
			if math.IsNaN(v) || v < 0 || v > largest {
				return false
			}
		}
		return true
	}
	sums := func(all ...dispatch.SumSnapshot) bool {
		for _, s := range all {
			if math.IsNaN(s.Weight) || s.Weight < 0 || s.Weight > largest || math.IsNaN(s.Total) || math.Abs(s.Total) > 1e18 || s.Total < 0 {
				return false
			}
		}
		return true
	}
	if !sums(l.AnswerTimes) || !sums(l.LostCalls...) {
		return fmt.Errorf("%w: sums", ErrSense)
	}
	for _, r := range l.Groups {
		past := func(at dispatch.Micros) bool { return at <= l.TakenAt }
		ok := sums(r.AnswerTimes, r.Deliveries) && number(r.UsualRate, r.ReportedRate) && past(r.CountedSince) && past(r.LastCall) && past(r.LastDelivery) &&
			past(r.OutageAt) && r.RetryAfterUntil <= l.TakenAt+longest && r.Interval >= 0 && r.Interval <= longest && r.ThrottledInterval >= 0 && r.ThrottledInterval <= longest &&
			r.WarmedFor >= 0 && r.WarmedFor <= longest && r.FailureSigns >= 0 && r.ThrottleSigns >= 0
		for _, b := range r.Breakers {
			ok = ok && b.Failures >= 0 && b.OpenUntil <= l.TakenAt+longest
		}
		if !ok {
			return fmt.Errorf("%w: destination %d", ErrSense, r.Destination)
		}
	}
	for _, e := range l.Endpoints {
		if len(e.FailureRuns) == 0 {
			return fmt.Errorf("%w: endpoint %s", ErrSense, e.Endpoint)
		}
		for _, n := range e.FailureRuns {
			if n.Failures < 0 || n.EjectedUntil > l.TakenAt+longest {
				return fmt.Errorf("%w: endpoint %s", ErrSense, e.Endpoint)
			}
		}
	}
	return nil
}

// Write replaces the file in a folder, whole.
func Write(dir string, content []byte) error { return atomicfile.Write(dir, Name, content) }

// Read reads the file in a folder for a courier, at an instant. The fault says why nothing is to be had.
func Read(dir, courier string, now dispatch.Micros, limit int) (State, error) {
	content, err := atomicfile.Read(dir, Name, limit)
	if err != nil {
		return State{}, err
	}
	s, err := Decode(content)
	switch {
	case err != nil:
		return State{}, err
	case courier != "" && s.Courier != courier:
		return State{}, fmt.Errorf("%w: %q", ErrStranger, s.Courier)
	case now > 0 && s.Lore.TakenAt > now:
		return State{}, fmt.Errorf("%w by %.3f s", ErrFuture, float64(s.Lore.TakenAt-now)/1e6)
	}
	return s, nil
}

// Sweep removes what a write left behind that was cut off, and returns how much there was.
func Sweep(dir string) (removed int) { return atomicfile.Sweep(dir, Name) }

// Room is how much of a folder's limit is set apart: for the file and, while it is replaced, its successor, in whole
// blocks. Limit is the most that one of them may hold. A sixteenth goes to it, a quarter of a megabyte at most.
func Room(folder int64) (room int64, limit int) {
	each := min(folder/16, 256<<10) / 2 / block * block
	return 2 * each, int(each)
}
