package spool

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
)

// Entries as they stand in segments: length, checksum, kind, a JSON head and, for a message, its body.

type update struct {
	ID           string   `json:"id"`
	Attempt      int      `json:"n,omitempty"`
	Begun        *Attempt `json:"t,omitempty"`
	Outcome      string   `json:"o,omitempty"`
	RetryAfterMs int64    `json:"m,omitempty"`
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

// apply takes in one entry: its kind, a JSON head and, for a message, the body. It is false where the entry makes no sense.
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
		return true // it ended, and its first entry was removed by compaction
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
		entry.message.FinalOutcome, entry.message.RetryAfterMs = update.Outcome, update.RetryAfterMs
	case kindForgotten:
		s.forget(update.ID)
	default:
		return false
	}
	return true
}
