// Package atomicfile writes and reads small files that survive restarts of the process. A file is versioned, checksummed and
// replaced atomically.
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

// HeaderSize is the size of the file header in bytes: 4 bytes of magic, the version (4 bytes), the length of the payload (8 bytes)
// and its xxHash64 (8 bytes). The numbers are big-endian.
const HeaderSize = 24

// Errors of Decode and Read.
var (
	ErrNotExist = errors.New("file does not exist")
	ErrCorrupt  = errors.New("torn or damaged") // incomplete, changed, or not a regular file
	ErrTooLarge = errors.New("too large")
)

// Encode returns the content of a file: the header and the payload.
func Encode(magic string, version uint32, payload []byte) []byte {
	content := make([]byte, HeaderSize, HeaderSize+len(payload))
	copy(content[:4], magic)
	binary.BigEndian.PutUint32(content[4:], version)
	binary.BigEndian.PutUint64(content[8:], uint64(len(payload)))
	binary.BigEndian.PutUint64(content[16:], xxhash.Sum64(payload))
	return append(content, payload...)
}

// Decode checks the header and the checksum of a file and returns its version and its payload.
func Decode(magic string, content []byte) (version uint32, payload []byte, err error) {
	if len(content) < HeaderSize || string(content[:4]) != magic {
		return 0, nil, fmt.Errorf("%w: no header", ErrCorrupt)
	}
	payload = content[HeaderSize:]
	if n := binary.BigEndian.Uint64(content[8:]); n != uint64(len(payload)) {
		return 0, nil, fmt.Errorf("%w: payload has %d bytes, header says %d", ErrCorrupt, len(payload), n)
	}
	if xxhash.Sum64(payload) != binary.BigEndian.Uint64(content[16:]) {
		return 0, nil, fmt.Errorf("%w: checksum mismatch", ErrCorrupt)
	}
	return binary.BigEndian.Uint32(content[4:]), payload, nil
}

// Write atomically replaces a file in dir. After an interrupted write, the file has either the complete old or the complete
// new content.
func Write(dir, name string, content []byte) error {
	return renameio.WriteFile(filepath.Join(dir, name), content, 0o600, renameio.WithTempDir(dir))
}

// Read reads a file in dir and fails if it has more than limit bytes.
func Read(dir, name string, limit int) ([]byte, error) {
	path := filepath.Join(dir, name)
	info, err := os.Stat(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil, ErrNotExist
	case err != nil:
		return nil, err
	case !info.Mode().IsRegular():
		return nil, fmt.Errorf("%w: not a regular file", ErrCorrupt)
	case info.Size() > int64(limit):
		return nil, fmt.Errorf("%w: %d bytes, %d allowed", ErrTooLarge, info.Size(), limit)
	}
	return os.ReadFile(path)
}

// RemoveTempFiles removes the temporary files that interrupted writes of a file left in dir, and returns their number.
func RemoveTempFiles(dir, name string) (removed int) {
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
