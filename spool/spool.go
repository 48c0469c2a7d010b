// Package spool stores the messages that a courier has accepted, with their attempts, in a folder that outlasts the process:
// append-only segments of checksummed entries, written without a sync. The oldest segment is removed once all that still
// matters of it has been written again at the end, so the folder stays small and an end is never removed before what it ends.
package spool

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
)

// ErrFull is returned where there is no room for another message.
var ErrFull = errors.New("spool: full")

// Attempt is one attempt of a message; Outcome is empty while it is in flight, or was when the process ended. The tags are the
// names in the files.
type Attempt struct {
	Endpoint string `json:"e"`
	Zone     int    `json:"z"`
	SentAt   int64  `json:"s"` // in microseconds of Unix time, as all times here
	Outcome  string `json:"o,omitempty"`
}

// Message is all that is stored of a message. The tags are the names in the files.
type Message struct {
	ID             string    `json:"id"`
	Number         int64     `json:"n"` // in the order of acceptance; set by Append
	Class          string    `json:"w"`
	Destination    int       `json:"d"`
	Tenant         string    `json:"p,omitempty"`
	OrderingKey    string    `json:"k,omitempty"`
	IdempotencyKey string    `json:"r,omitempty"`
	Resubmitted    bool      `json:"a,omitempty"`
	Deadline       int64     `json:"c"`
	Attempts       []Attempt `json:"t,omitempty"`
	FinalOutcome   string    `json:"x,omitempty"` // how it ended, while its notice is not confirmed
	RetryAfterMs   int64     `json:"m,omitempty"`
	Body           []byte    `json:"-"`
}

const (
	magic    = "PPS1"
	block    = 512 // files count in whole blocks
	overhead = 8   // length and checksum of an entry
	// segmentsPerFolder is high enough that compaction, which needs room for one more segment, takes little of the folder.
	segmentsPerFolder = 16
	maxEntry          = 1 << 20
)

const (
	kindMessage   = 'R' // a message with all that is known, which replaces what was known
	kindAttempt   = 'T' // an attempt that begins
	kindOutcome   = 'O' // the outcome of an attempt
	kindEnd       = 'E' // ended, with a notice to be confirmed
	kindForgotten = 'G' // ended, nothing more is owed
)

type entry struct {
	message *Message
	size    int64 // of its last whole entry
	segment *segment
	reserve int64 // for its attempts and its end, at the most
}

// Spool is one open folder. One goroutine owns it.
type Spool struct {
	dir         string
	limit       int64
	segmentSize int64
	file        segmentFile
	create      func(path string) (segmentFile, error)
	remove      func(path string) error
	torn        bool // half an entry stands at the end of the file
	cutsFailed  int  // in a row
	backlog     backlog
	fault       error      // of a compaction, that nobody has asked for yet
	segments    []*segment // oldest first; the last is written to
	entries     map[string]*entry
	live        int64 // bytes that compaction would leave
	lastNumber  int64 // of the message accepted last
	scratch     []byte
	readOnly    bool // for Inspect: nothing is written
}

// Inspect reads a folder as Open does and changes nothing; its courier may be running. faults are entries that cannot be read.
func Inspect(dir string) (messages []*Message, faults []error, err error) {
	if info, err := os.Stat(dir); err != nil || !info.IsDir() {
		return nil, nil, fmt.Errorf("%s: a folder was expected", dir)
	}
	s := &Spool{dir: dir, entries: map[string]*entry{}, readOnly: true}
	messages, faults, _, err = s.load()
	return messages, faults, err
}

// Open reads a folder and returns the unfinished messages in it, in the order of acceptance; faults are entries that were
// dropped. limit is the most that the folder may ever hold, in bytes.
func Open(dir string, limit int64) (s *Spool, unfinished []*Message, faults []error, err error) {
	s = &Spool{dir: dir, limit: limit, segmentSize: max(limit/segmentsPerFolder/block*block, 4*block), entries: map[string]*entry{},
		create: createSegment, remove: os.Remove, backlog: backlog{ids: map[string]bool{}}}
	unfinished, faults, next, err := s.load()
	if err != nil {
		return nil, nil, nil, err
	}
	if err := s.startSegment(next); err != nil {
		return nil, nil, faults, err
	}
	s.compactNow()
	return s, unfinished, faults, nil
}

// index notes where the last whole entry of a message is.
func (s *Spool) index(message *Message, seg *segment, size int64) {
	s.forget(message.ID)
	// What its attempts add to a whole entry is reserved, or compaction could need more than there is.
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

// Append stores a message and sets its number. After an error nothing of it is stored.
func (s *Spool) Append(message *Message) error {
	if s.entries[message.ID] != nil {
		return fmt.Errorf("spool: %s is there already", message.ID)
	}
	if err := s.Flush(); err != nil {
		return err
	}
	message.Number = s.lastNumber + 1
	body := s.encode(message)
	// Half of the folder is for what is live: the rest is for garbage that is not removed yet, and for compaction.
	size := int64(len(body) + overhead)
	if s.live+size+1024 > s.limit/2 || size > 2*s.segmentSize {
		return ErrFull
	}
	if !s.hasRoom(size) { // an earlier compaction failed
		if s.compactNow(); !s.hasRoom(size) {
			return ErrFull
		}
	}
	if err := s.write(body); err != nil {
		return err
	}
	s.lastNumber = message.Number
	s.index(message, s.segments[len(s.segments)-1], size)
	s.compactNow() // Failure: a message was in the folder, a compaction behind it failed, and its client heard that it was not taken on
	return nil
}

// hasRoom reports whether an entry fits, and a segment for the next compaction.
func (s *Spool) hasRoom(size int64) bool { return s.Size()+size+s.segmentSize <= s.limit }

// compactNow compacts; where that fails the folder holds more than it has to, and it is tried again behind the next entry.
func (s *Spool) compactNow() {
	if err := s.compact(); err != nil {
		s.fault = err
	}
}

// TakeCompactionError returns a fault of a compaction, once.
func (s *Spool) TakeCompactionError() error {
	fault := s.fault
	s.fault = nil
	return fault
}

// BeginAttempt stores an attempt before it is sent; a message that is not held is ignored. After ErrWriteFailed a restart would not know of it.
func (s *Spool) BeginAttempt(id string, t Attempt) error {
	if entry := s.entries[id]; entry != nil {
		entry.message.Attempts = append(entry.message.Attempts, t)
		return s.writeUpdate(kindAttempt, update{ID: id, Begun: &t})
	}
	return nil
}

// FinishAttempt stores the outcome of an attempt.
func (s *Spool) FinishAttempt(id string, attempt int, outcome string) error {
	if entry := s.entries[id]; entry != nil && attempt < len(entry.message.Attempts) {
		entry.message.Attempts[attempt].Outcome = outcome
		return s.writeUpdate(kindOutcome, update{ID: id, Attempt: attempt, Outcome: outcome})
	}
	return nil
}

// Finish stores how a message ended, while its notice is to be confirmed.
func (s *Spool) Finish(id, how string, againMs int64) error {
	if entry := s.entries[id]; entry != nil {
		entry.message.FinalOutcome, entry.message.RetryAfterMs = how, againMs
		return s.writeUpdate(kindEnd, update{ID: id, Outcome: how, RetryAfterMs: againMs})
	}
	return nil
}

// Discard stores that nothing is owed for a message, or fails and changes nothing.
func (s *Spool) Discard(id string) error {
	if s.entries[id] == nil {
		return nil
	}
	if err := s.Flush(); err != nil {
		return err
	}
	if err := s.write(encodeUpdate(kindForgotten, update{ID: id})); err != nil {
		return errors.Join(ErrWriteFailed, err)
	}
	s.forget(id)
	s.compactNow()
	return nil
}

// Remove stores that nothing more is owed for a message.
func (s *Spool) Remove(id string) error {
	if s.entries[id] == nil {
		return nil
	}
	s.forget(id)
	return s.writeUpdate(kindForgotten, update{ID: id})
}

// writeUpdate writes a change that is in memory already. Failure: one that the folder did not take was never written again, and a message
// that was over was owed after a restart.
func (s *Spool) writeUpdate(kind byte, update update) error {
	if s.HasBacklog() {
		s.backlog.add(update.ID)
		return s.Flush()
	}
	if err := s.write(encodeUpdate(kind, update)); err != nil {
		s.backlog.add(update.ID)
		return errors.Join(ErrWriteFailed, err)
	}
	s.compactNow()
	return nil
}

func encodeUpdate(kind byte, update update) []byte {
	head, _ := json.Marshal(update) // strings and numbers: it cannot fail
	return append([]byte{kind}, head...)
}

// Close closes the segment that is written to, after what is in memory alone was tried once more.
func (s *Spool) Close() error { return errors.Join(s.Flush(), s.file.Close()) }

// Resize sets the most that the folder may hold, in bytes. Nothing that is held is dropped for a lower limit: no message is
// accepted until what is live fits again.
func (s *Spool) Resize(limit int64) {
	s.limit, s.segmentSize = limit, max(limit/segmentsPerFolder/block*block, 4*block)
}
