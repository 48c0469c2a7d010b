package dispatch

import "slices"

// keyOrder holds the messages of one ordering key, in the order in which they were accepted.
type keyOrder struct {
	key       OrderingKey
	messages  []*message
	holdUntil Micros // an attempt of the key may still run until then
}

// joinKey appends a message to those of its ordering key.
func (d *Dispatcher) joinKey(key OrderingKey, message *message) *keyOrder {
	d.releaseKeys()
	order := d.keys[key]
	if order == nil {
		order = &keyOrder{key: key}
		d.keys[key] = order
	}
	order.messages = append(order.messages, message)
	return order
}

// remove takes a message out of the order, which may be nil.
func (o *keyOrder) remove(message *message) {
	if o == nil {
		return
	}
	if i := slices.Index(o.messages, message); i >= 0 {
		message.orderIndex, o.messages = i, slices.Delete(o.messages, i, i+1)
	}
}

// sendableAt is when a message may be sent by the order of its ordering key: 0 for at once, never while an earlier
// message of the key is unfinished.
func (o *keyOrder) sendableAt(message *message) Micros {
	switch {
	case o == nil || o.messages[0] == message && len(message.attempts) > 0:
		return 0
	case o.messages[0] != message:
		return never
	}
	return o.holdUntil
}

// releaseKeys forgets keys that are no longer held and have no messages. Keys rarely come twice, so nothing else would.
func (d *Dispatcher) releaseKeys() {
	d.restingKeys = slices.DeleteFunc(d.restingKeys, func(order *keyOrder) bool {
		over := d.now >= order.holdUntil
		if over && len(order.messages) == 0 && d.keys[order.key] == order {
			delete(d.keys, order.key)
		}
		return over
	})
}
