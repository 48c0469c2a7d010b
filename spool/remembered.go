package spool

import (
	"cmp"
	"slices"
)

// This file keeps the ids of removed messages that must be recognized if they come again. Each is part of the record of its removal;
// compaction writes those of a segment anew, several as one record. All records together take up to rememberedShare of the size limit; beyond it the oldest ids are
// forgotten, as by Forget.

// rememberedShare is the share of the size limit that remembered ids may use, as a divisor.
const rememberedShare = 16

// rememberedID is the id of a removed message that is still recognized.
type rememberedID struct {
	until      int64    // courier time (package clock) in microseconds
	segment    *segment // of the newest record; nil while the removal is in the backlog
	recordSize int64
}

// rememberedIDs holds remembered ids.
type rememberedIDs struct {
	byID  map[string]*rememberedID
	order []string // in the order in which they were added; may hold ids that were forgotten
	bytes int64    // of all records
}

// RemoveAndRemember removes a message like Remove, and remembers its id until an instant of the courier's time, in microseconds.
func (s *Spool) RemoveAndRemember(id string, until int64) error {
	if s.entries[id] == nil {
		return nil
	}
	s.unindex(id)
	s.remember(id, until)
	err := s.writeUpdate(kindRemoved, update{ID: id, RememberUntil: until})
	s.forgetOldest()
	return err
}

// Remembered is the id of a removed message, and until when it is remembered, in microseconds of the courier's time.
// The JSON tags are the names in the segment files.
type Remembered struct {
	ID    string `json:"id"`
	Until int64  `json:"u"`
}

// Remembered returns the remembered ids, ordered by until when they are.
func (s *Spool) Remembered() []Remembered {
	ids := make([]Remembered, 0, len(s.remembered.byID))
	for id, remembered := range s.remembered.byID {
		ids = append(ids, Remembered{id, remembered.until})
	}
	slices.SortFunc(ids, func(a, b Remembered) int { return cmp.Or(cmp.Compare(a.Until, b.Until), cmp.Compare(a.ID, b.ID)) })
	return ids
}

// Forget drops a remembered id.
func (s *Spool) Forget(id string) {
	if remembered := s.remembered.byID[id]; remembered != nil {
		s.remembered.bytes -= remembered.recordSize
		s.liveBytes -= remembered.recordSize
		delete(s.remembered.byID, id)
	}
}

// remember adds an id that has no record yet.
func (s *Spool) remember(id string, until int64) {
	s.Forget(id)
	s.remembered.byID[id] = &rememberedID{until: until}
	s.remembered.order = append(s.remembered.order, id)
}

// locateRemembered records the segment and the size of the newest record of a remembered id.
func (s *Spool) locateRemembered(id string, seg *segment, size int64) {
	remembered := s.remembered.byID[id]
	if remembered == nil {
		return
	}
	s.remembered.bytes += size - remembered.recordSize
	s.liveBytes += size - remembered.recordSize
	remembered.segment, remembered.recordSize = seg, size
}

// forgetOldest forgets the oldest ids while all take more than their share of the size limit.
func (s *Spool) forgetOldest() {
	order := s.remembered.order
	for len(order) > 0 && (s.remembered.bytes > s.limit/rememberedShare || s.remembered.byID[order[0]] == nil) {
		s.Forget(order[0])
		order = order[1:]
	}
	s.remembered.order = order
}

// idsPerRecord is how many remembered ids compaction writes as one record.
const idsPerRecord = 64

// rewriteRemembered writes the remembered ids of a segment, which is about to be removed, to the newest segment.
func (s *Spool) rewriteRemembered(from *segment) error {
	var moving []Remembered
	for _, remembered := range s.Remembered() {
		if s.remembered.byID[remembered.ID].segment == from {
			moving = append(moving, remembered)
		}
	}
	for ids := range slices.Chunk(moving, idsPerRecord) {
		payload := encodeUpdate(kindRemembered, update{Remembered: ids})
		if err := s.appendRecord(payload); err != nil {
			return err
		}
		s.locateAllRemembered(ids, s.segments[len(s.segments)-1], int64(len(payload)+recordHeaderSize))
	}
	return nil
}

// locateAllRemembered records the segment of ids that share a record, and counts its size in equal parts.
func (s *Spool) locateAllRemembered(ids []Remembered, seg *segment, recordSize int64) {
	for _, remembered := range ids {
		s.locateRemembered(remembered.ID, seg, recordSize/int64(len(ids))+1)
	}
}

// applyRemembered applies a record of remembered ids.
func (s *Spool) applyRemembered(seg *segment, ids []Remembered, recordSize int64) {
	for _, remembered := range ids {
		s.remember(remembered.ID, remembered.Until)
	}
	s.locateAllRemembered(ids, seg, recordSize)
}

// appendRemoval appends the record of a removal, with until when the id is remembered.
func (s *Spool) appendRemoval(id string) error {
	removal := update{ID: id}
	if remembered := s.remembered.byID[id]; remembered != nil {
		removal.RememberUntil = remembered.until
	}
	payload := encodeUpdate(kindRemoved, removal)
	if err := s.appendRecord(payload); err != nil {
		return err
	}
	s.locateRemembered(id, s.segments[len(s.segments)-1], int64(len(payload)+recordHeaderSize))
	return nil
}
