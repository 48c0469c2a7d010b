// Package atomicfile writes and reads small files that outlast a process: versioned, checksummed, replaced as a whole, never half
// written.
package atomicfile

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"
)

// HeadSize is the size of a file's head, in bytes: four bytes of magic, the version, the length of the text and its hash, in
// network byte order.
const HeadSize = 24

// Why a file is not used.
var (
	ErrNotExist = errors.New("no file")
	ErrCorrupt  = errors.New("torn or damaged")
	ErrTooLarge = errors.New("too large")
)

// Encode returns the content of a file with a text.
func Encode(magic string, version uint32, text []byte) []byte {
	out := make([]byte, HeadSize, HeadSize+len(text))
	copy(out[:4], magic)
	binary.BigEndian.PutUint32(out[4:], version)
	binary.BigEndian.PutUint64(out[8:], uint64(len(text)))
	binary.BigEndian.PutUint64(out[16:], xxhash.Sum64(text))
	return append(out, text...)
}

// Decode returns the version and the text in the content of a file.
func Decode(magic string, content []byte) (version uint32, text []byte, err error) {
	if len(content) < HeadSize || string(content[:4]) != magic {
		return 0, nil, fmt.Errorf("%w: no head", ErrCorrupt)
	}
	text = content[HeadSize:]
	if n := binary.BigEndian.Uint64(content[8:]); n != uint64(len(text)) {
		return 0, nil, fmt.Errorf("%w: %d bytes, the head says %d", ErrCorrupt, len(text), n)
	}
	if xxhash.Sum64(text) != binary.BigEndian.Uint64(content[16:]) {
		return 0, nil, fmt.Errorf("%w: the checksum differs", ErrCorrupt)
	}
	return binary.BigEndian.Uint32(content[4:]), text, nil
}

// Write replaces a file in a folder, whole: whatever happens meanwhile, the old content or the new one is there.
func Write(dir, name string, content []byte) error {
	return renameio.WriteFile(filepath.Join(dir, name), content, 0o600, renameio.WithTempDir(dir))
}

// Read reads a file in a folder, of so many bytes at most.
func Read(dir, name string, limit int) ([]byte, error) {
	path := filepath.Join(dir, name)
	info, err := os.Stat(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil, ErrNotExist
	case err != nil:
		return nil, err
	case !info.Mode().IsRegular():
		return nil, fmt.Errorf("%w: no ordinary file", ErrCorrupt)
	case info.Size() > int64(limit):
		return nil, fmt.Errorf("%w: %d bytes, %d allowed", ErrTooLarge, info.Size(), limit)
	}
	return os.ReadFile(path)
}

// RemoveLeftovers removes what writes of a file left behind that were cut off, and returns how much there was.
func RemoveLeftovers(dir, name string) (removed int) {
	names, err := filepath.Glob(filepath.Join(dir, "."+name+"*"))
	if err != nil {
		return 0
	}
	for _, name := range names {
		if os.Remove(name) == nil {
			removed++
		}
	}
	return removed
}
