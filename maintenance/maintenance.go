// Package maintenance stores the list of endpoints that operators have disabled, in a file that survives restarts of the
// process. It does not decide how a disabled endpoint is treated.
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

// FileName is the file name in the state directory.
const FileName = "maintenance.out"

const (
	magic   = "PPMT"
	version = 1
	// MaxFileSize is the maximum size of the file in bytes, enough for several hundred endpoint names of
	// about 30 bytes.
	MaxFileSize = 16 << 10
	// Reserve is the number of bytes reserved in the state directory: for the file and, during a replacement, the new file.
	Reserve = 2 * MaxFileSize
)

// Errors of Read, in addition to those of package atomicfile.
var (
	ErrVersion      = errors.New("unsupported version")
	ErrOtherCourier = errors.New("file belongs to another courier")
)

// ErrTooMany is returned if the disabled endpoints do not fit into a file of MaxFileSize bytes.
var ErrTooMany = errors.New("too many disabled endpoints")

// body is the JSON payload of the file.
type body struct {
	Courier  string   `json:"courier"`
	Disabled []string `json:"out"`
}

func encode(courier string, disabled []string) ([]byte, error) {
	payload, err := json.Marshal(body{courier, disabled})
	if err == nil && len(payload)+atomicfile.HeaderSize > MaxFileSize {
		err = ErrTooMany
	}
	return atomicfile.Encode(magic, version, payload), err
}

// Read returns the disabled endpoints listed in the file in dir, or nil if there is no file.
func Read(dir, courier string) ([]string, error) {
	content, err := atomicfile.Read(dir, FileName, MaxFileSize)
	if errors.Is(err, atomicfile.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	fileVersion, payload, err := atomicfile.Decode(magic, content)
	switch {
	case err != nil:
		return nil, err
	case fileVersion != version:
		return nil, fmt.Errorf("%w: %d, supported version is %d", ErrVersion, fileVersion, version)
	}
	var decoded body
	if err := json.Unmarshal(payload, &decoded); err != nil {
		return nil, fmt.Errorf("%w: %v", atomicfile.ErrCorrupt, err)
	}
	if decoded.Courier != courier {
		return nil, fmt.Errorf("%w: %q", ErrOtherCourier, decoded.Courier)
	}
	return decoded.Disabled, nil
}

// Writer writes the file. It is safe for concurrent use, and calls of Write may come in any order of generations.
type Writer struct {
	dir, courier      string
	mu                sync.Mutex
	writtenGeneration int64 // latest generation written by this Writer
	stopped           bool  // set by Stop: Write does nothing
}

// NewWriter returns a Writer for the file in dir and removes the temporary files of interrupted writes.
func NewWriter(dir, courier string) *Writer {
	atomicfile.RemoveTempFiles(dir, FileName)
	return &Writer{dir: dir, courier: courier}
}

// Stop makes Write do nothing from now on. It is called when the disabled endpoints have been handed over to another
// process, which writes the file before it accepts clients.
func (w *Writer) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
}

// Write stores the disabled endpoints. generation is a counter that the caller increments with every change. If this Writer
// has already written the same or a later generation, Write does nothing.
func (w *Writer) Write(generation int64, disabled map[string]bool) error {
	content, err := encode(w.courier, slices.Sorted(maps.Keys(disabled)))
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if generation <= w.writtenGeneration || w.stopped {
		return nil
	}
	if err := atomicfile.Write(w.dir, FileName, content); err != nil {
		return err
	}
	w.writtenGeneration = generation
	return nil
}
