// Package snapshot stores the learned state of the dispatcher in one file that survives restarts of the process. The file
// is versioned, checksummed and replaced atomically. Package dispatch decides whether a snapshot is too old to be used.
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

// FileName is the file name in the state directory.
const FileName = "learned.lore"

// The file has the format of package atomicfile, with CBOR as its payload.
const (
	magic      = "PPLL"
	version    = 2
	headerSize = atomicfile.HeaderSize
	blockSize  = 512 // disk usage is counted in whole blocks
)

// Errors of Encode, Decode and Read. Most are returned wrapped, with the value found in the file.
var (
	ErrNotExist      = atomicfile.ErrNotExist
	ErrCorrupt       = atomicfile.ErrCorrupt
	ErrTooLarge      = atomicfile.ErrTooLarge
	ErrVersionTooOld = errors.New("version too old")
	ErrVersionTooNew = errors.New("version too new")
	ErrOtherCourier  = errors.New("file belongs to another courier")
	ErrFuture        = errors.New("snapshot is later than the courier clock")
	ErrImplausible   = errors.New("contains implausible values")
)

// State is the content of a file. The JSON tags are the names in the output of the command "state show".
type State struct {
	Courier  string            `json:"Courier"`
	Snapshot dispatch.Snapshot `json:"Lore"`
}

// body is the payload of version 2.
type body struct {
	Courier  string            `cbor:"1,keyasint"`
	Snapshot dispatch.Snapshot `cbor:"2,keyasint"`
}

// bodyV1 is the payload of version 1, without LostCalls and Endpoints of dispatch.Snapshot. Its fields mean the same as in version 2.
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

// must returns mode and panics on an error.
func must[T any](mode T, err error) T {
	if err != nil {
		panic(err) // the options are constant, so an error is a programming error
	}
	return mode
}

// Encode returns the content of a file, of at most limit bytes. If the state is larger, Encode keeps the endpoint
// groups with the most recent calls and the last entries of Endpoints, which are those that failed most recently. It does
// not store RestingKeys: these ordering keys are held for a moment only, and there may be many.
func Encode(state State, limit int) ([]byte, error) {
	snapshot := state.Snapshot
	snapshot.Groups, snapshot.HeldKeys = slices.Clone(snapshot.Groups), nil
	slices.SortStableFunc(snapshot.Groups, func(a, b dispatch.GroupSnapshot) int { return int(min(1, max(-1, b.LastCall-a.LastCall))) })
	for {
		payload, err := encoder.Marshal(body{state.Courier, snapshot})
		if err != nil {
			return nil, err
		}
		if len(payload)+headerSize <= limit {
			return atomicfile.Encode(magic, version, payload), nil
		}
		if len(snapshot.Groups) == 0 && len(snapshot.Endpoints) == 0 {
			return nil, fmt.Errorf("%w: %d bytes, %d allowed", ErrTooLarge, len(payload)+headerSize, limit)
		}
		// Keep 5% less than the ratio allows, so that the second pass usually fits.
		fraction := 0.95 * float64(limit) / float64(len(payload)+headerSize)
		snapshot.Groups = snapshot.Groups[:int(fraction*float64(len(snapshot.Groups)))]
		snapshot.Endpoints = snapshot.Endpoints[len(snapshot.Endpoints)-int(fraction*float64(len(snapshot.Endpoints))):]
	}
}

// Decode decodes the content of a file of version 1 or 2.
func Decode(content []byte) (State, error) {
	fileVersion, payload, err := atomicfile.Decode(magic, content)
	if err != nil {
		return State{}, err
	}
	var state State
	switch {
	case fileVersion > version:
		return state, fmt.Errorf("%w: %d, newest supported version is %d", ErrVersionTooNew, fileVersion, version)
	case fileVersion == 1:
		var b bodyV1
		if err := decoder.Unmarshal(payload, &b); err != nil {
			return state, fmt.Errorf("%w: %v", ErrCorrupt, err)
		}
		state = State{b.Courier, dispatch.Snapshot{TakenAt: b.TakenAt, Groups: b.Groups, AnswerTimes: b.AnswerTimes}}
	case fileVersion < 1:
		return state, fmt.Errorf("%w: %d", ErrVersionTooOld, fileVersion)
	default:
		var b body
		if err := decoder.Unmarshal(payload, &b); err != nil {
			return state, fmt.Errorf("%w: %v", ErrCorrupt, err)
		}
		state = State(b)
	}
	if err := validate(state.Snapshot); err != nil {
		return State{}, err
	}
	return state, nil
}

// Upper limits for values in a file. They are far above real values; a larger value would harm the dispatcher, for example
// by keeping a breaker open for years.
const (
	maxInterval = dispatch.Micros(3600 * 1000 * 1000) // for intervals, warm-up, and the rest of a Retry-After, open breaker or ejection; microseconds
	maxValue    = 1e9
)

// validate checks that the values are plausible. The checksum only shows that the file is unchanged since it was written,
// not that the values were right.
func validate(snapshot dispatch.Snapshot) error {
	validNumbers := func(values ...float64) bool {
		for _, v := range values {
			if math.IsNaN(v) || v < 0 || v > maxValue {
				return false
			}
		}
		return true
	}
	validSums := func(all ...dispatch.SumSnapshot) bool {
		for _, s := range all {
			if math.IsNaN(s.Weight) || s.Weight < 0 || s.Weight > maxValue || math.IsNaN(s.Total) || math.Abs(s.Total) > 1e18 || s.Total < 0 {
				return false
			}
		}
		return true
	}
	if !validSums(snapshot.AnswerTimes) || !validSums(snapshot.LostCalls...) {
		return fmt.Errorf("%w: answer times or lost calls", ErrImplausible)
	}
	for _, group := range snapshot.Groups {
		notInFuture := func(at dispatch.Micros) bool { return at <= snapshot.TakenAt }
		valid := validSums(group.AnswerTimes, group.Deliveries) && validNumbers(group.UsualRate, group.ReportedRate) && notInFuture(group.CountedSince) && notInFuture(group.LastCall) && notInFuture(group.LastDelivery) &&
			notInFuture(group.OutageAt) && group.RetryAfterUntil <= snapshot.TakenAt+maxInterval && group.Interval >= 0 && group.Interval <= maxInterval && group.ThrottledInterval >= 0 && group.ThrottledInterval <= maxInterval &&
			group.WarmedFor >= 0 && group.WarmedFor <= maxInterval && group.FailureSigns >= 0 && group.ThrottleSigns >= 0
		for _, b := range group.Breakers {
			valid = valid && b.Failures >= 0 && b.OpenUntil <= snapshot.TakenAt+maxInterval
		}
		if !valid {
			return fmt.Errorf("%w: group of destination %d", ErrImplausible, group.Destination)
		}
	}
	for _, endpoint := range snapshot.Endpoints {
		if len(endpoint.FailureRuns) == 0 {
			return fmt.Errorf("%w: endpoint %s", ErrImplausible, endpoint.Endpoint)
		}
		for _, run := range endpoint.FailureRuns {
			if run.Failures < 0 || run.EjectedUntil > snapshot.TakenAt+maxInterval {
				return fmt.Errorf("%w: endpoint %s", ErrImplausible, endpoint.Endpoint)
			}
		}
	}
	return nil
}

// Write atomically replaces the file in dir.
func Write(dir string, content []byte) error { return atomicfile.Write(dir, FileName, content) }

// Read reads the file in dir. It fails if the file belongs to another courier, or if the snapshot was taken after now. An
// empty courier turns off the first check, a now of 0 the second.
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

// RemoveTempFiles removes the temporary files of interrupted writes and returns their number.
func RemoveTempFiles(dir string) (removed int) { return atomicfile.RemoveTempFiles(dir, FileName) }

// MaxSize is the maximum size of the file in bytes, whatever the size limit of the directory.
const MaxSize = 128 << 10

// Reserve returns how many bytes of the size limit of the state directory, folderLimit, are reserved for the snapshot file
// and for the new file during a replacement, and the size limit of each of these two files. reserved is 1/16 of folderLimit,
// at most 256 KiB, and both results are whole blocks.
func Reserve(folderLimit int64) (reserved int64, fileLimit int) {
	perFile := min(folderLimit/16, 2*MaxSize) / 2 / blockSize * blockSize
	return 2 * perFile, int(perFile)
}
