package spool

import (
	"errors"
	"os"
)

// This file keeps the backlog: the messages whose latest changes could not be written to the directory. Their state
// stays in memory. Once writes succeed again, each of them is written as one complete message record, or as a removal,
// in the order in which their writes first failed and before any later record. The backlog holds one id per message,
// and Append accepts no message before the backlog is written, so the number of stored messages bounds its size.

// ErrWriteFailed is returned while the directory does not accept writes. The changes of Append and Discard are then not made;
// all other changes are made in memory, and stay there until a Flush succeeds.
var ErrWriteFailed = errors.New("spool: cannot write to the state directory")

// segmentFile is the file of the current segment.
type segmentFile interface {
	Write(b []byte) (int, error)
	Truncate(size int64) error
	Close() error
}

// createSegment creates or truncates a segment file.
func createSegment(path string) (segmentFile, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND|os.O_TRUNC, 0o600)
}

// backlog is the list of messages whose latest changes are not in the directory yet.
type backlog struct {
	order []string        // message ids in the order in which they were added; includes messages removed from the spool
	ids   map[string]bool // the ids in order
}

// add adds a message id unless it is already in the backlog.
func (b *backlog) add(id string) {
	if !b.ids[id] {
		b.ids[id] = true
		b.order = append(b.order, id)
	}
}

// HasBacklog reports whether any change is in memory only. Flush writes these changes.
func (s *Spool) HasBacklog() bool { return len(s.backlog.order) > 0 }

// InBacklog reports whether any change of the message is in memory only.
func (s *Spool) InBacklog(id string) bool { return s.backlog.ids[id] }

// Flush writes the changes that are in memory only. It stops at the first error and keeps the remaining changes.
func (s *Spool) Flush() error {
	for len(s.backlog.order) > 0 {
		id := s.backlog.order[0]
		if err := s.writeMessage(id); err != nil {
			return errors.Join(ErrWriteFailed, err)
		}
		s.backlog.order = s.backlog.order[1:]
		delete(s.backlog.ids, id)
	}
	s.backlog.order = nil
	return nil
}

// writeMessage writes the complete state of a message, or its removal if it is no longer stored.
func (s *Spool) writeMessage(id string) error {
	entry := s.entries[id]
	if entry == nil {
		return s.appendRemoval(id)
	}
	payload := s.encodeMessage(entry.message)
	if err := s.appendRecord(payload); err != nil {
		return err
	}
	s.index(entry.message, s.segments[len(s.segments)-1], int64(len(payload)+recordHeaderSize))
	return nil
}
