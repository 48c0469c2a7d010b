package spool

import (
	"errors"
	"os"
)

// What the folder does not take is written later. A message whose last changes are not in the folder is behind: what is known of it stands in
// memory, and is written as a whole, in the order in which messages fell behind and before anything later, once the folder takes writes again.
// So what waits is bounded by the messages that are held.

// ErrWriteFailed is returned where the folder fails, and what was to be stored is in memory alone.
var ErrWriteFailed = errors.New("spool: the folder fails")

// segmentFile is the segment that is written to, as the system has it.
type segmentFile interface {
	Write(b []byte) (int, error)
	Truncate(size int64) error
	Close() error
}

// createSegment creates a segment's file.
func createSegment(path string) (segmentFile, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND|os.O_TRUNC, 0o600)
}

// backlog is what is not in the folder yet.
type backlog struct {
	order []string // ids of messages, and of those that are over
	ids   map[string]bool
}

func (b *backlog) add(id string) {
	if !b.ids[id] {
		b.ids[id] = true
		b.order = append(b.order, id)
	}
}

// HasBacklog reports whether something is in memory alone. Flush writes it.
func (s *Spool) HasBacklog() bool { return len(s.backlog.order) > 0 }

// InBacklog reports whether something of a message is in memory alone.
func (s *Spool) InBacklog(id string) bool { return s.backlog.ids[id] }

// Flush writes what is in memory alone; what fails stays there, and what comes after it.
func (s *Spool) Flush() error {
	for len(s.backlog.order) > 0 {
		id := s.backlog.order[0]
		if err := s.writeWhole(id); err != nil {
			return errors.Join(ErrWriteFailed, err)
		}
		s.backlog.order = s.backlog.order[1:]
		delete(s.backlog.ids, id)
	}
	s.backlog.order = nil
	return nil
}

// writeWhole writes all that is known of a message, or that nothing is owed for it.
func (s *Spool) writeWhole(id string) error {
	entry := s.entries[id]
	if entry == nil {
		return s.write(encodeUpdate(kindForgotten, update{ID: id}))
	}
	body := s.encode(entry.message)
	if err := s.write(body); err != nil {
		return err
	}
	s.index(entry.message, s.segments[len(s.segments)-1], int64(len(body)+overhead))
	return nil
}
