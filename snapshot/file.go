// Package snapshot stores snapshots of the learned state in one file that outlasts the process: versioned, checksummed, replaced
// as a whole, never half written. Whether a snapshot is still used after a while is decided in package dispatch.
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

// FileName of the file, in the state folder.
const FileName = "learned.lore"

// A file is that of package atomicfile, with CBOR in it.
const (
	magic    = "PPLL"
	version  = 2
	headSize = atomicfile.HeadSize
	block    = 512 // files count in whole blocks
)

// Why a file is not used. Each is wrapped with what the file has in its place.
var (
	ErrNotExist     = atomicfile.ErrNotExist
	ErrCorrupt      = atomicfile.ErrCorrupt
	ErrTooLarge     = atomicfile.ErrTooLarge
	ErrOlder        = errors.New("of a version that is too old")
	ErrNewer        = errors.New("of a newer version")
	ErrOtherCourier = errors.New("of another courier")
	ErrFuture       = errors.New("from the future: the clock went backwards")
	ErrImplausible  = errors.New("holds what cannot be")
)

// State is the content of a file; the tags are the names in the output of commands.
type State struct {
	Courier  string            `json:"Courier"`
	Snapshot dispatch.Snapshot `json:"Lore"`
}

// body is the body of version 2.
type body struct {
	Courier  string            `cbor:"1,keyasint"`
	Snapshot dispatch.Snapshot `cbor:"2,keyasint"`
}

// bodyV1 is the body of version 1, which had no state of connections and endpoints; the rest means the same.
type bodyV1 struct {
	Courier     string                   `cbor:"1,keyasint"`
	TakenAt     dispatch.Micros          `cbor:"2,keyasint"`
	Groups      []dispatch.GroupSnapshot `cbor:"3,keyasint"`
	AnswerTimes dispatch.SumSnapshot     `cbor:"4,keyasint"`
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

// Encode returns the content of a file, of at most limit bytes. Where all does not fit, the groups that were called last are
// kept, and the endpoints that failed last.
func Encode(state State, limit int) ([]byte, error) {
	snapshot := state.Snapshot
	snapshot.Groups, snapshot.HeldKeys = slices.Clone(snapshot.Groups), nil
	slices.SortStableFunc(snapshot.Groups, func(a, b dispatch.GroupSnapshot) int { return int(min(1, max(-1, b.LastCall-a.LastCall))) })
	for {
		text, err := encoder.Marshal(body{state.Courier, snapshot})
		if err != nil {
			return nil, err
		}
		if len(text)+headSize <= limit {
			return atomicfile.Encode(magic, version, text), nil
		}
		if len(snapshot.Groups) == 0 && len(snapshot.Endpoints) == 0 {
			return nil, fmt.Errorf("%w: %d bytes, %d allowed", ErrTooLarge, len(text)+headSize, limit)
		}
		// A little less than what seems to fit, so that it does the second time.
		part := 0.95 * float64(limit) / float64(len(text)+headSize)
		snapshot.Groups = snapshot.Groups[:int(part*float64(len(snapshot.Groups)))]
		snapshot.Endpoints = snapshot.Endpoints[len(snapshot.Endpoints)-int(part*float64(len(snapshot.Endpoints))):]
	}
}

// Decode reads the content of a file of either version.
func Decode(content []byte) (State, error) {
	v, text, err := atomicfile.Decode(magic, content)
	if err != nil {
		return State{}, err
	}
	var state State
	switch {
	case v > version:
		return state, fmt.Errorf("%w: %d, this program knows %d", ErrNewer, v, version)
	case v == 1:
		var b bodyV1
		if err := decoder.Unmarshal(text, &b); err != nil {
			return state, fmt.Errorf("%w: %v", ErrCorrupt, err)
		}
		state = State{b.Courier, dispatch.Snapshot{TakenAt: b.TakenAt, Groups: b.Groups, AnswerTimes: b.AnswerTimes}}
	case v < 1:
		return state, fmt.Errorf("%w: %d", ErrOlder, v)
	default:
		var b body
		if err := decoder.Unmarshal(text, &b); err != nil {
			return state, fmt.Errorf("%w: %v", ErrCorrupt, err)
		}
		state = State(b)
	}
	if err := validate(state.Snapshot); err != nil {
		return State{}, err
	}
	return state, nil
}

// Bounds of plausible values: wide, so that they only catch what would harm the dispatcher.
const (
	longest = dispatch.Micros(3600 * 1000 * 1000) // of an interval, or of a Retry-After that is still to come
	largest = 1e9
)

// validate checks that values are plausible. A checksum proves that a file is what was written, not that it made sense.
func validate(snapshot dispatch.Snapshot) error {
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
	if !sums(snapshot.AnswerTimes) || !sums(snapshot.LostCalls...) {
		return fmt.Errorf("%w: sums", ErrImplausible)
	}
	for _, group := range snapshot.Groups {
		past := func(at dispatch.Micros) bool { return at <= snapshot.TakenAt }
		ok := sums(group.AnswerTimes, group.Deliveries) && number(group.UsualRate, group.ReportedRate) && past(group.CountedSince) && past(group.LastCall) && past(group.LastDelivery) &&
			past(group.OutageAt) && group.RetryAfterUntil <= snapshot.TakenAt+longest && group.Interval >= 0 && group.Interval <= longest && group.ThrottledInterval >= 0 && group.ThrottledInterval <= longest &&
			group.WarmedFor >= 0 && group.WarmedFor <= longest && group.FailureSigns >= 0 && group.ThrottleSigns >= 0
		for _, b := range group.Breakers {
			ok = ok && b.Failures >= 0 && b.OpenUntil <= snapshot.TakenAt+longest
		}
		if !ok {
			return fmt.Errorf("%w: destination %d", ErrImplausible, group.Destination)
		}
	}
	for _, endpoint := range snapshot.Endpoints {
		if len(endpoint.FailureRuns) == 0 {
			return fmt.Errorf("%w: endpoint %s", ErrImplausible, endpoint.Endpoint)
		}
		for _, n := range endpoint.FailureRuns {
			if n.Failures < 0 || n.EjectedUntil > snapshot.TakenAt+longest {
				return fmt.Errorf("%w: endpoint %s", ErrImplausible, endpoint.Endpoint)
			}
		}
	}
	return nil
}

// Write replaces the file in a folder as a whole.
func Write(dir string, content []byte) error { return atomicfile.Write(dir, FileName, content) }

// Read reads the file in a folder for a courier, at an instant; an empty courier and an instant of 0 are not checked.
func Read(dir, courier string, now dispatch.Micros, limit int) (State, error) {
	content, err := atomicfile.Read(dir, FileName, limit)
	if err != nil {
		return State{}, err
	}
	state, err := Decode(content)
	switch {
	case err != nil:
		return State{}, err
	case courier != "" && state.Courier != courier:
		return State{}, fmt.Errorf("%w: %q", ErrOtherCourier, state.Courier)
	case now > 0 && state.Snapshot.TakenAt > now:
		return State{}, fmt.Errorf("%w by %.3f s", ErrFuture, float64(state.Snapshot.TakenAt-now)/1e6)
	}
	return state, nil
}

// RemoveTempFiles removes what an interrupted write left behind, and returns how many files that were.
func RemoveTempFiles(dir string) (removed int) { return atomicfile.RemoveLeftovers(dir, FileName) }

// MaxSize is the most that a file may hold in any folder, in bytes.
const MaxSize = 128 << 10

// Reserve returns how many bytes of a folder's limit are reserved for the file and, while it is replaced, its successor, in whole
// blocks, and the limit of one of them: a sixteenth of the folder together, a quarter of a megabyte at most.
func Reserve(folder int64) (room int64, limit int) {
	each := min(folder/16, 2*MaxSize) / 2 / block * block
	return 2 * each, int(each)
}
