// Package maintenance keeps which endpoints people have taken out, in a file that outlasts the process. What that means for
// them is not decided here.
package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"

	"pineport/atomicfile"
)

// FileName of the file, in the folder that lasts.
const FileName = "maintenance.out"

const (
	magic   = "PPMT"
	version = 1
	// Limit is the most that the file may hold: some hundred endpoints.
	Limit = 16 << 10
	// Reserve is what the folder must have free for it: the file, and its successor while it is replaced.
	Reserve = 2 * Limit
)

// Why a file is not used, beside what encoded says.
var (
	ErrVersion      = errors.New("of another version")
	ErrOtherCourier = errors.New("of another courier")
)

// ErrTooMany says that more endpoints are out than the file may name.
var ErrTooMany = errors.New("too many endpoints are out")

type body struct {
	Courier string   `json:"courier"`
	Out     []string `json:"out"`
}

func encode(courier string, out []string) ([]byte, error) {
	text, err := json.Marshal(body{courier, out})
	if err == nil && len(text)+atomicfile.HeadSize > Limit {
		err = ErrTooMany
	}
	return atomicfile.Encode(magic, version, text), err
}

// Read tells which endpoints are out, by the file in a folder; none where there is no file.
func Read(dir, courier string) ([]string, error) {
	content, err := atomicfile.Read(dir, FileName, Limit)
	if errors.Is(err, atomicfile.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	v, text, err := atomicfile.Decode(magic, content)
	switch {
	case err != nil:
		return nil, err
	case v != version:
		return nil, fmt.Errorf("%w: %d, this program knows %d", ErrVersion, v, version)
	}
	var b body
	if err := json.Unmarshal(text, &b); err != nil {
		return nil, fmt.Errorf("%w: %v", atomicfile.ErrCorrupt, err)
	}
	if b.Courier != courier {
		return nil, fmt.Errorf("%w: %q", ErrOtherCourier, b.Courier)
	}
	return b.Out, nil
}

// Writer writes the file. Calls may come from several goroutines, and out of order.
type Writer struct {
	dir, courier string
	mu           sync.Mutex
	written      int64
	stopped      bool
}

// NewWriter makes a keeper for a folder, and removes what a write left behind that was cut off.
func NewWriter(dir, courier string) *Writer {
	atomicfile.RemoveLeftovers(dir, FileName)
	return &Writer{dir: dir, courier: courier}
}

// Stop ends the writing: what is out has been handed to another process, which has it in the file before it serves.
func (k *Writer) Stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopped = true
}

// Write returns once the endpoints that were out at a step, or a later one, are in the file.
func (k *Writer) Write(turn int64, out map[string]bool) error {
	content, err := encode(k.courier, slices.Sorted(maps.Keys(out)))
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if turn <= k.written || k.stopped {
		return nil
	}
	if err := atomicfile.Write(k.dir, FileName, content); err != nil {
		return err
	}
	k.written = turn
	return nil
}
