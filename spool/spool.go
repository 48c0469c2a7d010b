// Package spool keeps what a courier has taken on in a folder that outlasts its process: append-only segments
// of checksummed entries, written without a sync. The oldest segment is dropped once what still matters in it
// stands again at the end, so the folder stays small and an end never goes before what it ends.
package spool

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
)

// ErrFull says that there is no room for another message.
var ErrFull = errors.New("spool: full")

// Attempt is one attempt of a message; Outcome is empty while it is out, or was when the process ended.
type Attempt struct {
	Endpoint string `json:"e"`
	Zone     int    `json:"z"`
	SentAt   int64  `json:"s"` // microseconds of Unix time, as all times here
	Outcome  string `json:"o,omitempty"`
}

// Message is all that is kept of a message.
type Message struct {
	ID             string    `json:"id"`
	Number         int64     `json:"n"` // in the order in which they were taken; set by Append
	Class          string    `json:"w"`
	Destination    int       `json:"d"`
	Tenant         string    `json:"p,omitempty"`
	OrderingKey    string    `json:"k,omitempty"`
	IdempotencyKey string    `json:"r,omitempty"`
	Resubmitted    bool      `json:"a,omitempty"`
	Deadline       int64     `json:"c"`
	Attempts       []Attempt `json:"t,omitempty"`
	Ended          string    `json:"x,omitempty"` // how, where the platform is still to be notified
	RetryAfterMs   int64     `json:"m,omitempty"`
	Body           []byte    `json:"-"`
}

const (
	magic    = "PPS1"
	block    = 512 // files count in whole blocks
	overhead = 8   // length and checksum of an entry
	// As many segments as this fit the folder: small enough that compaction, which needs room for one more,
	// costs little of it.
	segmentsPerFolder = 16
	maxEntry          = 1 << 20
)

const (
	kindMessage   = 'R' // a message with all that is known; replaces what was known
	kindAttempt   = 'T'
	kindOutcome   = 'O' // outcome of an attempt
	kindEnd       = 'E' // over, the platform is still to be notified
	kindForgotten = 'G' // over, nothing more is owed
)

type segment struct {
	number int
	size   int64
	live   map[string]int64 // messages whose last whole entry stands here, with its size
}

type entry struct {
	message *Message
	size    int64 // of its last whole entry
	segment *segment
	reserve int64 // room that its attempts and its end will take, at the most
}

// Spool is one folder. It belongs to one goroutine.
type Spool struct {
	dir         string
	limit       int64
	segmentSize int64
	file        *os.File
	segments    []*segment // oldest first; the last is written to
	entries     map[string]*entry
	live        int64 // what compaction would leave
	lastNumber  int64 // the last number given
	scratch     []byte
	readOnly    bool // only: nothing is written
}

// Inspect reads a folder as Open does, and leaves it as it is; its courier may be running.
func Inspect(dir string) (messages []*Message, faults []error, err error) {
	if info, err := os.Stat(dir); err != nil || !info.IsDir() {
		return nil, nil, fmt.Errorf("%s: a folder was expected", dir)
	}
	s := &Spool{dir: dir, entries: map[string]*entry{}, readOnly: true}
	messages, faults, _, err = s.load()
	return messages, faults, err
}

// Open reads a folder and returns what is unfinished in it, in the order in which it was taken on; faults are
// what was dropped on the way. limit is the most that the folder may ever hold, in bytes.
func Open(dir string, limit int64) (s *Spool, unfinished []*Message, faults []error, err error) {
	s = &Spool{dir: dir, limit: limit, segmentSize: max(limit/segmentsPerFolder/block*block, 4*block), entries: map[string]*entry{}}
	unfinished, faults, next, err := s.load()
	if err != nil {
		return nil, nil, nil, err
	}
	if err := s.startSegment(next); err != nil {
		return nil, nil, faults, err
	}
	return s, unfinished, faults, s.compact()
}

// load reads all segments; next is the number of the one to begin.
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

// begin starts a new segment.
func (s *Spool) startSegment(number int) error {
	if s.file != nil {
		s.file.Close()
	}
	f, err := os.OpenFile(s.path(number), os.O_CREATE|os.O_WRONLY|os.O_APPEND|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	if _, err := f.WriteString(magic); err != nil {
		f.Close()
		return err
	}
	s.file = f
	s.segments = append(s.segments, &segment{number: number, size: int64(len(magic)), live: map[string]int64{}})
	return nil
}

// read takes in one segment up to the first entry that does not hold; the rest of the file is cut off.
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

// distrust: entries that had held are gone, so that any message known here may have ended or been sent since.
func (s *Spool) markUncertain() {
	for _, entry := range s.entries {
		entry.message.Attempts = append(entry.message.Attempts, Attempt{})
	}
}

type update struct {
	ID           string   `json:"id"`
	Attempt      int      `json:"n,omitempty"`
	Begun        *Attempt `json:"t,omitempty"`
	Outcome      string   `json:"o,omitempty"`
	RetryAfterMs int64    `json:"m,omitempty"`
}

// apply takes in one entry: a kind, a JSON head and, for a message, its body after the head.
func (s *Spool) apply(seg *segment, body []byte) bool {
	if body[0] == kindMessage {
		if len(body) < 5 {
			return false
		}
		n := int(binary.LittleEndian.Uint32(body[1:]))
		message := &Message{}
		if n > len(body)-5 || json.Unmarshal(body[5:5+n], message) != nil {
			return false
		}
		message.Body = append([]byte{}, body[5+n:]...)
		if old := s.entries[message.ID]; old != nil {
			*old.message = *message
			message = old.message
		}
		s.lastNumber = max(s.lastNumber, message.Number)
		s.index(message, seg, int64(len(body)+overhead))
		return true
	}
	var update update
	if json.Unmarshal(body[1:], &update) != nil {
		return false
	}
	entry := s.entries[update.ID]
	if entry == nil {
		return true // it ended before, and what it began with is gone
	}
	switch body[0] {
	case kindAttempt:
		if update.Begun != nil {
			entry.message.Attempts = append(entry.message.Attempts, *update.Begun)
		}
	case kindOutcome:
		if update.Attempt < len(entry.message.Attempts) && update.Attempt >= 0 {
			entry.message.Attempts[update.Attempt].Outcome = update.Outcome
		}
	case kindEnd:
		entry.message.Ended, entry.message.RetryAfterMs = update.Outcome, update.RetryAfterMs
	case kindForgotten:
		s.forget(update.ID)
	default:
		return false
	}
	return true
}

// place notes where a message's last whole entry stands.
func (s *Spool) index(message *Message, seg *segment, size int64) {
	s.forget(message.ID)
	// What its attempts add to a whole entry is kept free, or compaction could need more than there is.
	entry := &entry{message: message, size: size, segment: seg, reserve: 1024}
	s.entries[message.ID] = entry
	seg.live[message.ID] = size
	s.live += size + entry.reserve
}

func (s *Spool) forget(id string) {
	if entry := s.entries[id]; entry != nil {
		delete(entry.segment.live, id)
		s.live -= entry.size + entry.reserve
		delete(s.entries, id)
	}
}

func (s *Spool) encode(message *Message) []byte {
	head, _ := json.Marshal(message) // strings and numbers: it cannot fail
	b := append([]byte{kindMessage}, binary.LittleEndian.AppendUint32(nil, uint32(len(head)))...)
	return append(append(b, head...), message.Body...)
}

func frame(dst, body []byte) []byte {
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(body)))
	dst = binary.LittleEndian.AppendUint32(dst, crc32.ChecksumIEEE(body))
	return append(dst, body...)
}

// Append puts a message into the spool; after ErrFull nothing of it is there.
func (s *Spool) Append(message *Message) error {
	if s.entries[message.ID] != nil {
		return fmt.Errorf("spool: %s is there already", message.ID)
	}
	message.Number = s.lastNumber + 1
	body := s.encode(message)
	// Half of the folder is for what is live: the rest is garbage not yet dropped, and room to compact.
	if size := int64(len(body) + overhead); s.live+size+1024 > s.limit/2 || size > 2*s.segmentSize {
		return ErrFull
	}
	if err := s.write(body); err != nil {
		return err
	}
	s.lastNumber = message.Number
	s.index(message, s.segments[len(s.segments)-1], int64(len(body)+overhead))
	return s.compact()
}

// BeginAttempt notes an attempt before it goes out.
func (s *Spool) BeginAttempt(id string, t Attempt) error {
	if entry := s.entries[id]; entry != nil {
		entry.message.Attempts = append(entry.message.Attempts, t)
		return s.writeUpdate(kindAttempt, update{ID: id, Begun: &t})
	}
	return nil
}

// FinishAttempt notes how an attempt ended.
func (s *Spool) FinishAttempt(id string, attempt int, outcome string) error {
	if entry := s.entries[id]; entry != nil && attempt < len(entry.message.Attempts) {
		entry.message.Attempts[attempt].Outcome = outcome
		return s.writeUpdate(kindOutcome, update{ID: id, Attempt: attempt, Outcome: outcome})
	}
	return nil
}

// Finish notes that a message is over and the platform is still to be notified how.
func (s *Spool) Finish(id, how string, againMs int64) error {
	if entry := s.entries[id]; entry != nil {
		entry.message.Ended, entry.message.RetryAfterMs = how, againMs
		return s.writeUpdate(kindEnd, update{ID: id, Outcome: how, RetryAfterMs: againMs})
	}
	return nil
}

// Forget notes that nothing more is owed for a message.
func (s *Spool) Forget(id string) error {
	if s.entries[id] == nil {
		return nil
	}
	s.forget(id)
	return s.writeUpdate(kindForgotten, update{ID: id})
}

func (s *Spool) writeUpdate(kind byte, update update) error {
	head, _ := json.Marshal(update) // strings and numbers: it cannot fail
	if err := s.write(append([]byte{kind}, head...)); err != nil {
		return err
	}
	return s.compact()
}

// write appends one entry, in a new segment if this one is full.
func (s *Spool) write(body []byte) error {
	last := s.segments[len(s.segments)-1]
	if last.size > int64(len(magic)) && last.size+int64(len(body)+overhead) > s.segmentSize {
		if err := s.startSegment(last.number + 1); err != nil {
			return err
		}
		last = s.segments[len(s.segments)-1]
	}
	s.scratch = frame(s.scratch[:0], body)
	n, err := s.file.Write(s.scratch)
	last.size += int64(n)
	if err != nil && n > 0 { // half an entry would hide all that comes after it
		last.size -= int64(n)
		if cut := s.file.Truncate(last.size); cut != nil {
			err = errors.Join(err, cut)
		}
	}
	return err
}

// Size is what the folder holds, each file counted in whole blocks.
func (s *Spool) Size() int64 {
	total := int64(0)
	for _, seg := range s.segments {
		total += (seg.size + block - 1) / block * block
	}
	return total
}

// compact drops the oldest segments while more is garbage than live, or little room is left.
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
		if err := os.Remove(s.path(oldest.number)); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	return nil
}

// Close ends the writing; all is in the files already.
func (s *Spool) Close() error { return s.file.Close() }

// Resize sets what the folder may hold from now on. With less than is held nothing is dropped: no new message is taken
// until what is live fits again.
func (s *Spool) Resize(limit int64) {
	s.limit, s.segmentSize = limit, max(limit/segmentsPerFolder/block*block, 4*block)
}
