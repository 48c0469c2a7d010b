package spool

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
)

// This file reads segments at the start, appends records to them and compacts them.

// segment is one segment file.
type segment struct {
	number    int
	size      int64
	liveSizes map[string]int64 // sizes of the message records here that are the newest of their message, by message id
}

// load reads all segments. nextNumber is the number for the next new segment.
func (s *Spool) load() (messages []*Message, faults []error, nextNumber int, err error) {
	names, err := filepath.Glob(filepath.Join(s.dir, "*.seg"))
	if err != nil {
		return nil, nil, 0, err
	}
	slices.Sort(names)
	nextNumber = 1
	for i, name := range names {
		number := 0
		if _, err := fmt.Sscanf(filepath.Base(name), "%d.seg", &number); err != nil {
			faults = append(faults, fmt.Errorf("%s: invalid segment file name", filepath.Base(name)))
			continue
		}
		nextNumber = max(nextNumber, number+1)
		seg := &segment{number: number, liveSizes: map[string]int64{}}
		if err := s.readSegment(name, seg, i == len(names)-1); err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", filepath.Base(name), err))
		}
		s.segments = append(s.segments, seg)
	}
	for _, entry := range s.entries {
		messages = append(messages, entry.message)
	}
	slices.SortFunc(messages, func(a, b *Message) int { return cmp.Compare(a.Number, b.Number) })
	return messages, faults, nextNumber, nil
}

func (s *Spool) segmentPath(number int) string {
	return filepath.Join(s.dir, fmt.Sprintf("%010d.seg", number))
}

// startSegment creates a new segment, to which all further records are appended.
func (s *Spool) startSegment(number int) error {
	file, err := s.create(s.segmentPath(number))
	if err != nil {
		return err
	}
	if _, err := file.Write([]byte(magic)); err != nil {
		file.Close()
		return err // the next call creates the same file again and truncates it
	}
	if s.file != nil {
		s.file.Close()
	}
	s.file, s.tornTail = file, false
	s.segments = append(s.segments, &segment{number: number, size: int64(len(magic)), liveSizes: map[string]int64{}})
	return nil
}

// readSegment applies the records of one segment up to the first damaged one, and truncates the file there. With
// readOnly set, the file is not changed, and a partial last record in the last segment is no error.
func (s *Spool) readSegment(name string, seg *segment, isLast bool) error {
	mode := os.O_RDWR
	if s.readOnly {
		mode = os.O_RDONLY
	}
	file, err := os.OpenFile(name, mode, 0)
	if err != nil {
		return err
	}
	defer file.Close()
	data, err := io.ReadAll(file)
	if err != nil {
		return err
	}
	seg.size = int64(len(data))
	if len(data) < len(magic) {
		return errors.New("no segment header: the file is empty or truncated")
	}
	if string(data[:len(magic)]) != magic {
		return fmt.Errorf("unknown version %q: segment not read", data[:len(magic)])
	}
	offset, torn := len(magic), false
	for offset < len(data) {
		length := 0
		if torn = len(data)-offset < recordHeaderSize; !torn {
			length = int(binary.LittleEndian.Uint32(data[offset:]))
			torn = length <= maxRecordSize && offset+recordHeaderSize+length > len(data)
		}
		if torn || length < 2 || length > maxRecordSize {
			break
		}
		payload := data[offset+recordHeaderSize : offset+recordHeaderSize+length]
		if crc32.ChecksumIEEE(payload) != binary.LittleEndian.Uint32(data[offset+4:]) || !s.applyRecord(seg, payload) {
			break
		}
		offset += recordHeaderSize + length
	}
	if offset < len(data) {
		seg.size = int64(offset)
		if !torn || !isLast {
			s.markUncertain()
		}
		if s.readOnly && torn && isLast {
			return nil // the courier may be writing this record at the moment
		}
		if s.readOnly {
			return fmt.Errorf("torn or damaged at byte %d: the last %d bytes cannot be read", offset, len(data)-offset)
		}
		if err := file.Truncate(int64(offset)); err != nil {
			return err
		}
		return fmt.Errorf("torn or damaged at byte %d: the last %d bytes were dropped", offset, len(data)-offset)
	}
	return nil
}

// markUncertain adds an attempt without an outcome to every message read so far. It is called after records were
// lost, because a lost record may have said that the message was sent or has ended.
func (s *Spool) markUncertain() {
	for _, entry := range s.entries {
		entry.message.Attempts = append(entry.message.Attempts, Attempt{})
	}
}

// appendRecord appends one record, to a new segment if the current one is full. Incident: a partial record could not
// be truncated after a failed write, and at the next start it hid all records appended after it. So nothing is
// appended after a partial record: it is truncated first, and if truncating fails
// maxTruncateFailures times, a new segment is started.
func (s *Spool) appendRecord(payload []byte) error {
	if err := s.truncateTornTail(); err != nil {
		return err
	}
	last := s.segments[len(s.segments)-1]
	if last.size > int64(len(magic)) && last.size+int64(len(payload)+recordHeaderSize) > s.segmentSize {
		if err := s.startSegment(last.number + 1); err != nil {
			return err
		}
		last = s.segments[len(s.segments)-1]
	}
	s.scratch = appendFrame(s.scratch[:0], payload)
	n, err := s.file.Write(s.scratch)
	if err == nil && n < len(s.scratch) {
		err = io.ErrShortWrite
	}
	if err != nil {
		s.tornTail = n > 0
		return errors.Join(err, s.truncateTornTail())
	}
	last.size += int64(n)
	return nil
}

// truncateTornTail truncates a partial record at the end of the current segment. After maxTruncateFailures failures it
// starts a new segment instead.
func (s *Spool) truncateTornTail() error {
	if !s.tornTail {
		return nil
	}
	last := s.segments[len(s.segments)-1]
	err := s.file.Truncate(last.size)
	if err == nil {
		s.tornTail, s.truncateFailures = false, 0
		return nil
	}
	if s.truncateFailures++; s.truncateFailures < maxTruncateFailures {
		return err
	}
	return s.startSegment(last.number + 1)
}

// maxTruncateFailures is the number of failed truncations after which a new segment is started. If a segment other
// than the last ends in a partial record, markUncertain marks all messages read up to there at the next start.
const maxTruncateFailures = 5

// Size returns the size of the directory in bytes, with each file counted in whole blocks.
func (s *Spool) Size() int64 {
	total := int64(0)
	for _, seg := range s.segments {
		total += (seg.size + blockSize - 1) / blockSize * blockSize
	}
	return total
}

// compact moves the live messages of the oldest segments to the newest and removes the oldest, while that is needed. It takes each
// segment once at the most, so that it ends under any limit. While more is live than the limit allows, it takes one segment for each
// operation: nothing waits for room then, and moving all of them would hold up the caller.
//
// Failure: a limit had been lowered below what was held. Compaction went on while more than three quarters of the limit were used, rewrote
// live messages for ever, and the courier hung.
func (s *Spool) compact() error {
	newest := s.segments[len(s.segments)-1].number
	for s.segments[0].number < newest && s.needsCompaction() {
		if err := s.compactOldest(); err != nil {
			return err
		}
		if s.Excess() > 0 {
			return nil
		}
	}
	return nil
}

// needsCompaction reports whether little room is left (more than 3/4 of the limit is used) and enough of it is garbage, or whether there
// is more garbage than live data (at least 4 segments, whose size is at least 3 times the live bytes).
func (s *Spool) needsCompaction() bool {
	size := s.Size()
	if size > s.limit*3/4 && s.garbageBytes() >= size/garbageShare {
		return true
	}
	return len(s.segments) >= 4 && size >= 3*s.liveBytes
}

// garbageShare is the share of the directory, as a divisor, that must be garbage before compaction makes room. So it writes garbageShare times
// what it frees at the most, also where live messages alone fill the limit.
const garbageShare = 16

// garbageBytes returns how many bytes of all records a complete compaction would drop.
func (s *Spool) garbageBytes() int64 {
	garbage := int64(len(s.entries))*growthReserve - s.liveBytes
	for _, seg := range s.segments {
		garbage += max(0, seg.size-int64(len(magic)))
	}
	return garbage
}

// compactOldest moves the live messages and the remembered ids of the oldest segment to the newest, and removes the oldest.
func (s *Spool) compactOldest() error {
	oldest := s.segments[0]
	for _, id := range slices.Sorted(maps.Keys(oldest.liveSizes)) {
		entry := s.entries[id]
		payload := s.encodeMessage(entry.message)
		if err := s.appendRecord(payload); err != nil {
			return err
		}
		s.index(entry.message, s.segments[len(s.segments)-1], int64(len(payload)+recordHeaderSize))
	}
	if err := s.rewriteRemembered(oldest); err != nil {
		return err
	}
	if err := s.remove(s.segmentPath(oldest.number)); err != nil {
		return err
	}
	s.segments = s.segments[1:]
	return nil
}
