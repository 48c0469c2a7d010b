// Package incarnation stores the incarnation of a courier across restarts. Each start increments it and stores it before it
// is used.
package incarnation

import (
	"encoding/json"
	"errors"
	"fmt"

	"pineport/atomicfile"
)

// FileName is the name of the file in the state folder.
const FileName = "peers.start"

const (
	magic        = "PPST"
	version      = 1
	maxFileBytes = 1 << 10
)

// record is the content of the file, encoded as JSON.
type record struct {
	Courier     string `json:"courier"`
	Incarnation uint64 `json:"start"`
}

// Next increments the stored incarnation, stores and returns it. If the file cannot be read, Next starts again at 1 and returns
// the cause as readErr: the other members still know the higher incarnation and report it.
func Next(dir, courier string) (incarnation uint64, readErr error, err error) {
	last, readErr := read(dir, courier)
	incarnation = last + 1
	return incarnation, readErr, Store(dir, courier, incarnation)
}

// Store writes the incarnation of a courier to the file.
func Store(dir, courier string, incarnation uint64) error {
	text, err := json.Marshal(record{courier, incarnation})
	if err != nil {
		return err
	}
	return atomicfile.Write(dir, FileName, atomicfile.Encode(magic, version, text))
}

func read(dir, courier string) (uint64, error) {
	content, err := atomicfile.Read(dir, FileName, maxFileBytes)
	if errors.Is(err, atomicfile.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	v, text, err := atomicfile.Decode(magic, content)
	if err != nil {
		return 0, err
	}
	var r record
	switch err := json.Unmarshal(text, &r); {
	case v != version:
		return 0, fmt.Errorf("unsupported version %d, expected %d", v, version)
	case err != nil:
		return 0, err
	case r.Courier != courier:
		return 0, fmt.Errorf("file belongs to courier %q, this is courier %q", r.Courier, courier)
	}
	return r.Incarnation, nil
}
