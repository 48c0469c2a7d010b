// Package spool persists the messages that a courier has accepted, and their attempts, in a directory that
// survives restarts of the process. The directory holds append-only segments of checksummed records, which are
// written without fsync. Records that are no longer needed are garbage. Compaction rewrites the live messages of the
// oldest segment at the end of the newest one and then removes the oldest. This keeps the directory small, and the
// record that ends a message is never removed before the earlier records of that message.
package spool

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
)

// ErrFull is returned when the size limit leaves no room for another message.
var ErrFull = errors.New("spool: full")

// Attempt is one attempt to deliver a message. The JSON tags are the names in the segment files.
type Attempt struct {
	Endpoint string `json:"e"`
	Zone     int    `json:"z"`
	SentAt   int64  `json:"s"`           // courier time (package clock) in microseconds, like Message.Deadline
	Outcome  string `json:"o,omitempty"` // empty while in flight, or if the process ended before the outcome
}

// Message is a stored message. The JSON tags are the names in the segment files.
type Message struct {
	ID             string    `json:"id"`
	Number         int64     `json:"n"` // sequence number in the order of acceptance; set by Append
	Class          string    `json:"w"`
	Destination    int       `json:"d"`
	Tenant         string    `json:"p,omitempty"`
	OrderingKey    string    `json:"k,omitempty"`
	IdempotencyKey string    `json:"r,omitempty"`
	Resubmitted    bool      `json:"a,omitempty"`
	Deadline       int64     `json:"c"`
	Attempts       []Attempt `json:"t,omitempty"`
	FinalOutcome   string    `json:"x,omitempty"` // how the message ended; empty until it has ended
	RetryAfterMs   int64     `json:"m,omitempty"`
	Body           []byte    `json:"-"`
}

const (
	magic            = "PPS1"
	blockSize        = 512 // disk usage is counted in whole blocks
	recordHeaderSize = 8   // length and checksum, 4 bytes each
	// segmentsPerDir is how many full segments the size limit allows. It is high because compaction needs room
	// for one more segment, which should be a small part of the directory.
	segmentsPerDir = 16
	maxRecordSize  = 1 << 20
	// growthReserve is reserved for each message, in bytes: attempts and the end enlarge the message record that compaction writes later,
	// which otherwise could need more than is left.
	growthReserve = 1024
)

const (
	kindMessage    = 'R' // a complete message, which replaces the earlier state of that message
	kindAttempt    = 'T' // the start of an attempt
	kindOutcome    = 'O' // the outcome of an attempt
	kindEnd        = 'E' // the message has ended, and its notice is not confirmed yet
	kindRemembered = 'I' // ids of removed messages that are still remembered; builds that do not know it ignore it
	kindRemoved    = 'G' // the message is removed: it ended or was discarded, and no notice is outstanding
)

// indexEntry locates the newest message record of a live message.
type indexEntry struct {
	message    *Message
	recordSize int64 // of its newest message record
	segment    *segment
}

// Spool is an open spool directory. It is not safe for concurrent use.
type Spool struct {
	dir              string
	limit            int64
	segmentSize      int64
	file             segmentFile
	create           func(path string) (segmentFile, error)
	remove           func(path string) error
	tornTail         bool // the current segment ends in a partial record
	truncateFailures int  // consecutive failures to truncate a partial record
	backlog          backlog
	compactionErr    error      // last compaction error, until TakeCompactionError returns it
	segments         []*segment // oldest first; records are appended to the last one
	entries          map[string]*indexEntry
	remembered       rememberedIDs
	liveBytes        int64  // bytes that remain after a complete compaction, with reserved bytes and remembered ids
	lastNumber       int64  // Number of the message accepted last
	scratch          []byte // buffer for encoding a record
	readOnly         bool   // set by Inspect: the files are not modified
}

// Inspect reads a spool directory without modifying it; the courier that owns it may be running. messages are the
// stored messages in the order of acceptance, faults describe unreadable records and files.
func Inspect(dir string) (messages []*Message, faults []error, err error) {
	if info, err := os.Stat(dir); err != nil || !info.IsDir() {
		return nil, nil, fmt.Errorf("%s: no such directory", dir)
	}
	s := &Spool{dir: dir, entries: map[string]*indexEntry{}, remembered: rememberedIDs{byID: map[string]*rememberedID{}}, readOnly: true}
	messages, faults, _, err = s.load()
	return messages, faults, err
}

// Open opens a spool directory and returns its stored messages in the order of acceptance, including those
// that have ended and whose notice is not confirmed. faults describe
// records that were dropped and files that were skipped, because they are damaged. limit is the maximum size of
// the directory in bytes.
func Open(dir string, limit int64) (s *Spool, messages []*Message, faults []error, err error) {
	s = &Spool{dir: dir, limit: limit, segmentSize: max(limit/segmentsPerDir/blockSize*blockSize, 4*blockSize), entries: map[string]*indexEntry{},
		remembered: rememberedIDs{byID: map[string]*rememberedID{}}, create: createSegment, remove: os.Remove, backlog: backlog{ids: map[string]bool{}}}
	messages, faults, nextNumber, err := s.load()
	if err != nil {
		return nil, nil, nil, err
	}
	if err := s.startSegment(nextNumber); err != nil {
		return nil, nil, faults, err
	}
	s.tryCompact()
	return s, messages, faults, nil
}

// index records the segment and the size of the newest message record of a message.
func (s *Spool) index(message *Message, seg *segment, size int64) {
	s.unindex(message.ID)
	s.Forget(message.ID)
	entry := &indexEntry{message: message, recordSize: size, segment: seg}
	s.entries[message.ID] = entry
	seg.liveSizes[message.ID] = size
	s.liveBytes += size + growthReserve
}

// unindex removes a message from the index; its records become garbage.
func (s *Spool) unindex(id string) {
	if entry := s.entries[id]; entry != nil {
		delete(entry.segment.liveSizes, id)
		s.liveBytes -= entry.recordSize + growthReserve
		delete(s.entries, id)
	}
}

// Append stores a new message and sets its Number. On an error, the message is not stored.
func (s *Spool) Append(message *Message) error {
	if s.entries[message.ID] != nil {
		return fmt.Errorf("spool: message %s already exists", message.ID)
	}
	if err := s.Flush(); err != nil {
		return err
	}
	message.Number = s.lastNumber + 1
	payload := s.encodeMessage(message)
	size := int64(len(payload) + recordHeaderSize)
	if s.liveBytes+size+growthReserve > s.liveLimit() || size > 2*s.segmentSize {
		return ErrFull
	}
	if !s.hasRoom(size) { // an earlier compaction has failed
		if s.tryCompact(); !s.hasRoom(size) {
			return ErrFull
		}
	}
	if err := s.appendRecord(payload); err != nil {
		return err
	}
	s.lastNumber = message.Number
	s.index(message, s.segments[len(s.segments)-1], size)
	// Incident: a compaction failed after a message was stored, and Append returned that error, so the client was
	// told that the message was not accepted. A compaction error is therefore kept for TakeCompactionError.
	s.tryCompact()
	return nil
}

// hasRoom reports whether the limit has room for a record of size bytes and for one more segment, which the next
// compaction needs.
func (s *Spool) hasRoom(size int64) bool { return s.Size()+size+s.segmentSize <= s.limit }

// tryCompact runs a compaction and keeps its error for TakeCompactionError. After a failure the directory is larger than
// necessary until a later compaction succeeds; the next one runs after the next write.
func (s *Spool) tryCompact() {
	if err := s.compact(); err != nil {
		s.compactionErr = err
	}
}

// TakeCompactionError returns the last compaction error and clears it.
func (s *Spool) TakeCompactionError() error {
	err := s.compactionErr
	s.compactionErr = nil
	return err
}

// BeginAttempt stores the start of an attempt, before it is sent. An unknown id is ignored. On ErrWriteFailed the attempt
// is in memory only, and a restart before the next successful Flush loses it.
func (s *Spool) BeginAttempt(id string, attempt Attempt) error {
	if entry := s.entries[id]; entry != nil {
		entry.message.Attempts = append(entry.message.Attempts, attempt)
		return s.writeUpdate(kindAttempt, update{ID: id, NewAttempt: &attempt})
	}
	return nil
}

// FinishAttempt stores the outcome of the attempt with this index. Unknown ids and attempts are ignored.
func (s *Spool) FinishAttempt(id string, index int, outcome string) error {
	if entry := s.entries[id]; entry != nil && index < len(entry.message.Attempts) {
		entry.message.Attempts[index].Outcome = outcome
		return s.writeUpdate(kindOutcome, update{ID: id, AttemptIndex: index, Outcome: outcome})
	}
	return nil
}

// Finish stores how a message ended. The message stays stored until Remove is called, after the notice is confirmed.
func (s *Spool) Finish(id, outcome string, retryAfterMs int64) error {
	if entry := s.entries[id]; entry != nil {
		entry.message.FinalOutcome, entry.message.RetryAfterMs = outcome, retryAfterMs
		return s.writeUpdate(kindEnd, update{ID: id, Outcome: outcome, RetryAfterMs: retryAfterMs})
	}
	return nil
}

// Discard removes a message. If the removal cannot be written, it returns an error and keeps the message.
func (s *Spool) Discard(id string) error {
	if s.entries[id] == nil {
		return nil
	}
	if err := s.Flush(); err != nil {
		return err
	}
	if err := s.appendRecord(encodeUpdate(kindRemoved, update{ID: id})); err != nil {
		return errors.Join(ErrWriteFailed, err)
	}
	s.unindex(id)
	s.tryCompact()
	return nil
}

// Remove removes a message from memory and writes the removal. If that write fails, a later Flush repeats it.
func (s *Spool) Remove(id string) error {
	if s.entries[id] == nil {
		return nil
	}
	s.unindex(id)
	return s.writeUpdate(kindRemoved, update{ID: id})
}

// writeUpdate writes a change that has already been made in memory. If the write fails, the message is added to the
// backlog. Incident: updates whose write failed were never repeated, so a message that had ended counted
// as not ended after a restart.
func (s *Spool) writeUpdate(kind byte, update update) error {
	if s.HasBacklog() {
		s.backlog.add(update.ID)
		return s.Flush()
	}
	payload := encodeUpdate(kind, update)
	if err := s.appendRecord(payload); err != nil {
		s.backlog.add(update.ID)
		return errors.Join(ErrWriteFailed, err)
	}
	if kind == kindRemoved {
		s.locateRemembered(update.ID, s.segments[len(s.segments)-1], int64(len(payload)+recordHeaderSize))
	}
	s.tryCompact()
	return nil
}

// encodeUpdate returns the payload of any record except a message record: kind and JSON head.
func encodeUpdate(kind byte, update update) []byte {
	head, _ := json.Marshal(update) // cannot fail: only strings and numbers
	return append([]byte{kind}, head...)
}

// Close flushes the backlog and closes the current segment file, even if the flush fails.
func (s *Spool) Close() error { return errors.Join(s.Flush(), s.file.Close()) }

// liveLimit is how many bytes live messages may use: half of the limit. The other half is for garbage not yet removed, and for compaction.
func (s *Spool) liveLimit() int64 { return s.limit / 2 }

// Excess returns how many bytes the live messages use beyond what the limit allows for them, after the limit was lowered; 0 if they fit.
func (s *Spool) Excess() int64 { return max(0, s.liveBytes-s.liveLimit()) }

// Resize sets the maximum size of the directory in bytes. A lower limit drops no stored message: Append returns
// ErrFull until the live messages fit into the new limit.
func (s *Spool) Resize(limit int64) {
	s.limit, s.segmentSize = limit, max(limit/segmentsPerDir/blockSize*blockSize, 4*blockSize)
}
