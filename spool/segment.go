package spool

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
)

// Segment files: reading them at the start, appending, and compaction.

type segment struct {
	number int
	size   int64
	live   map[string]int64 // messages whose last whole entry is in this segment, with its size
}

// load reads all segments; next is the number of the segment to start.
func (s *Spool) load() (unfinished []*Message, faults []error, next int, err error) {
	names, err := filepath.Glob(filepath.Join(s.dir, "*.seg"))
	if err != nil {
		return nil, nil, 0, err
	}
	slices.Sort(names)
	next = 1
	for i, name := range names {
		number := 0
		if _, err := fmt.Sscanf(filepath.Base(name), "%d.seg", &number); err != nil {
			faults = append(faults, fmt.Errorf("%s: not a segment's name", filepath.Base(name)))
			continue
		}
		next = max(next, number+1)
		seg := &segment{number: number, live: map[string]int64{}}
		if err := s.read(name, seg, i == len(names)-1); err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", filepath.Base(name), err))
		}
		s.segments = append(s.segments, seg)
	}
	for _, entry := range s.entries {
		unfinished = append(unfinished, entry.message)
	}
	slices.SortFunc(unfinished, func(a, b *Message) int { return cmp.Compare(a.Number, b.Number) })
	return unfinished, faults, next, nil
}

func (s *Spool) path(number int) string {
	return filepath.Join(s.dir, fmt.Sprintf("%010d.seg", number))
}

// startSegment starts a new segment.
func (s *Spool) startSegment(number int) error {
	f, err := s.create(s.path(number))
	if err != nil {
		return err
	}
	if _, err := f.Write([]byte(magic)); err != nil {
		f.Close()
		return err // the next try starts the same one anew
	}
	if s.file != nil {
		s.file.Close()
	}
	s.file, s.torn = f, false
	s.segments = append(s.segments, &segment{number: number, size: int64(len(magic)), live: map[string]int64{}})
	return nil
}

// read takes in one segment up to the first entry that is damaged; the rest of the file is cut off.
func (s *Spool) read(name string, seg *segment, last bool) error {
	mode := os.O_RDWR
	if s.readOnly {
		mode = os.O_RDONLY
	}
	f, err := os.OpenFile(name, mode, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	data, err := io.ReadAll(f)
	if err != nil {
		return err
	}
	seg.size = int64(len(data))
	if len(data) < len(magic) {
		return errors.New("empty: nothing was written to it")
	}
	if string(data[:len(magic)]) != magic {
		return fmt.Errorf("unknown version %q: left out", data[:len(magic)])
	}
	at, torn := len(magic), false
	for at < len(data) {
		n := 0
		if torn = len(data)-at < overhead; !torn {
			n = int(binary.LittleEndian.Uint32(data[at:]))
			torn = n <= maxEntry && at+overhead+n > len(data)
		}
		if torn || n < 2 || n > maxEntry {
			break
		}
		body := data[at+overhead : at+overhead+n]
		if crc32.ChecksumIEEE(body) != binary.LittleEndian.Uint32(data[at+4:]) || !s.apply(seg, body) {
			break
		}
		at += overhead + n
	}
	if at < len(data) {
		seg.size = int64(at)
		if !torn || !last {
			s.markUncertain()
		}
		if s.readOnly && torn && last {
			return nil // being written just now
		}
		if s.readOnly {
			return fmt.Errorf("torn or damaged at byte %d: the last %d bytes cannot be read", at, len(data)-at)
		}
		if err := f.Truncate(int64(at)); err != nil {
			return err
		}
		return fmt.Errorf("torn or damaged at byte %d: the last %d bytes were dropped", at, len(data)-at)
	}
	return nil
}

// markUncertain notes that entries were lost: any message known by now may have ended, or been sent, since.
func (s *Spool) markUncertain() {
	for _, entry := range s.entries {
		entry.message.Attempts = append(entry.message.Attempts, Attempt{})
	}
}

// write appends one entry, in a new segment if this one is full. Failure: half an entry was written and could not be cut off, and hid all
// that was appended behind it at the next start. Nothing is appended before it is cut off, or where that fails too, in this segment.
func (s *Spool) write(body []byte) error {
	if err := s.cutTorn(); err != nil {
		return err
	}
	last := s.segments[len(s.segments)-1]
	if last.size > int64(len(magic)) && last.size+int64(len(body)+overhead) > s.segmentSize {
		if err := s.startSegment(last.number + 1); err != nil {
			return err
		}
		last = s.segments[len(s.segments)-1]
	}
	s.scratch = frame(s.scratch[:0], body)
	n, err := s.file.Write(s.scratch)
	if err == nil && n < len(s.scratch) {
		err = io.ErrShortWrite
	}
	if err != nil {
		s.torn = n > 0
		return errors.Join(err, s.cutTorn())
	}
	last.size += int64(n)
	return nil
}

// cutTorn cuts half an entry off the segment that is written to, or, where that fails time after time, starts another one.
func (s *Spool) cutTorn() error {
	if !s.torn {
		return nil
	}
	last := s.segments[len(s.segments)-1]
	err := s.file.Truncate(last.size)
	if err == nil {
		s.torn, s.cutsFailed = false, 0
		return nil
	}
	if s.cutsFailed++; s.cutsFailed < maxCuts {
		return err
	}
	return s.startSegment(last.number + 1)
}

// maxCuts is how often it is tried to cut half an entry off a segment. What is in the folder of messages that are known there counts as perhaps
// sent after a restart, where a segment before the last has such an end.
const maxCuts = 5

// Size returns the bytes of the folder, each file counted in whole blocks.
func (s *Spool) Size() int64 {
	total := int64(0)
	for _, seg := range s.segments {
		total += (seg.size + block - 1) / block * block
	}
	return total
}

// compact removes the oldest segments while there is more garbage than live bytes, or little room is left.
func (s *Spool) compact() error {
	for len(s.segments) > 1 {
		size := s.Size()
		if size <= s.limit*3/4 && (len(s.segments) < 4 || size < 3*s.live) {
			return nil
		}
		oldest := s.segments[0]
		ids := make([]string, 0, len(oldest.live))
		for id := range oldest.live {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for _, id := range ids {
			entry := s.entries[id]
			body := s.encode(entry.message)
			if err := s.write(body); err != nil {
				return err
			}
			s.index(entry.message, s.segments[len(s.segments)-1], int64(len(body)+overhead))
		}
		if err := s.remove(s.path(oldest.number)); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	return nil
}
