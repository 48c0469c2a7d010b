package spool

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
)

// This file has the record format of the segments: length, checksum, kind, a JSON head and, for a message, its body.

// update is the JSON head of every record except a message record.
type update struct {
	ID           string   `json:"id,omitempty"`
	AttemptIndex int      `json:"n,omitempty"`
	NewAttempt   *Attempt `json:"t,omitempty"`
	Outcome      string   `json:"o,omitempty"`
	RetryAfterMs int64    `json:"m,omitempty"`
	// RememberUntil is until when the id of a removed message is remembered, in microseconds of the courier's time; 0 if it is not.
	RememberUntil int64        `json:"u,omitempty"`
	Remembered    []Remembered `json:"ids,omitempty"` // of a kindRemembered record, which has no ID
}

// encodeMessage returns the payload of a message record: kind, length of the head, JSON head and body.
func (s *Spool) encodeMessage(message *Message) []byte {
	head, _ := json.Marshal(message) // cannot fail: only strings and numbers
	payload := append([]byte{kindMessage}, binary.LittleEndian.AppendUint32(nil, uint32(len(head)))...)
	return append(append(payload, head...), message.Body...)
}

// appendFrame appends a record to dst: the length and the checksum of the payload, and the payload.
func appendFrame(dst, payload []byte) []byte {
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(payload)))
	dst = binary.LittleEndian.AppendUint32(dst, crc32.ChecksumIEEE(payload))
	return append(dst, payload...)
}

// applyRecord applies the payload of one record to the index and the messages in memory. It returns false if the
// payload is invalid.
func (s *Spool) applyRecord(seg *segment, payload []byte) bool {
	if payload[0] == kindMessage {
		if len(payload) < 5 {
			return false
		}
		headSize := int(binary.LittleEndian.Uint32(payload[1:]))
		message := &Message{}
		if headSize > len(payload)-5 || json.Unmarshal(payload[5:5+headSize], message) != nil {
			return false
		}
		message.Body = append([]byte{}, payload[5+headSize:]...)
		if old := s.entries[message.ID]; old != nil {
			*old.message = *message
			message = old.message
		}
		s.lastNumber = max(s.lastNumber, message.Number)
		s.index(message, seg, int64(len(payload)+recordHeaderSize))
		return true
	}
	var update update
	if json.Unmarshal(payload[1:], &update) != nil {
		return false
	}
	switch size := int64(len(payload) + recordHeaderSize); payload[0] {
	case kindRemoved:
		s.applyRemoval(seg, update, size)
		return true
	case kindRemembered:
		s.applyRemembered(seg, update.Remembered, size)
		return true
	}
	entry := s.entries[update.ID]
	if entry == nil {
		return true // the message was removed, or its message record was lost in a damaged segment
	}
	switch payload[0] {
	case kindAttempt:
		if update.NewAttempt != nil {
			entry.message.Attempts = append(entry.message.Attempts, *update.NewAttempt)
		}
	case kindOutcome:
		if update.AttemptIndex < len(entry.message.Attempts) && update.AttemptIndex >= 0 {
			entry.message.Attempts[update.AttemptIndex].Outcome = update.Outcome
		}
	case kindEnd:
		entry.message.FinalOutcome, entry.message.RetryAfterMs = update.Outcome, update.RetryAfterMs
	default:
		return false
	}
	return true
}

// applyRemoval applies the record of a removal.
func (s *Spool) applyRemoval(seg *segment, removal update, size int64) {
	s.unindex(removal.ID)
	if removal.RememberUntil > 0 {
		s.remember(removal.ID, removal.RememberUntil)
		s.locateRemembered(removal.ID, seg, size)
	}
}
