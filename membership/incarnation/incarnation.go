// Package incarnation keeps the number of a courier's starts over restarts: it grows with each, and is written down before it
// is used.
package incarnation

import (
	"encoding/json"
	"errors"
	"fmt"

	"pineport/atomicfile"
)

// FileName of the file, in the folder that lasts.
const FileName = "peers.start"

const (
	magic   = "PPST"
	version = 1
	limit   = 1 << 10
)

// kept is the file's text.
type body struct {
	Courier     string `json:"courier"`
	Incarnation uint64 `json:"start"`
}

// Next takes the next number and keeps it. What cannot be read begins anew at 1, and the fault is notified beside the number:
// the others remember higher ones, and tell them.
func Next(dir, courier string) (start uint64, fault error, err error) {
	last, fault := read(dir, courier)
	start = last + 1
	return start, fault, Store(dir, courier, start)
}

// Store writes a number down.
func Store(dir, courier string, start uint64) error {
	text, err := json.Marshal(body{courier, start})
	if err != nil {
		return err
	}
	return atomicfile.Write(dir, FileName, atomicfile.Encode(magic, version, text))
}

func read(dir, courier string) (uint64, error) {
	content, err := atomicfile.Read(dir, FileName, limit)
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
	var k body
	switch err := json.Unmarshal(text, &k); {
	case v != version:
		return 0, fmt.Errorf("version %d, this program reads %d", v, version)
	case err != nil:
		return 0, err
	case k.Courier != courier:
		return 0, fmt.Errorf("of courier %q, this is %q", k.Courier, courier)
	}
	return k.Incarnation, nil
}
