package dispatch

import "slices"

// keyOrder holds the messages of one ordering key, in the order in which they were accepted.
type keyOrder struct {
	key       OrderingKey
	messages  []*message
	holdUntil Micros // an attempt with the key may still run until then
}

// joinKey appends a message to the messages of its ordering key.
func (d *Dispatcher) joinKey(key OrderingKey, message *message) *keyOrder {
	d.dropExpiredKeys()
	order := d.keys[key]
	if order == nil {
		order = &keyOrder{key: key}
		d.keys[key] = order
	}
	order.messages = append(order.messages, message)
	return order
}

// remove removes a message from the order. The order may be nil.
func (o *keyOrder) remove(message *message) {
	if o == nil {
		return
	}
	if i := slices.Index(o.messages, message); i >= 0 {
		message.orderIndex, o.messages = i, slices.Delete(o.messages, i, i+1)
	}
}

// sendableAt returns when the ordering key of a message allows it to be sent: never while an earlier message of the key is
// unfinished; 0, for at once, if it is a retry of the first message; else when the key is no longer held.
func (o *keyOrder) sendableAt(message *message) Micros {
	switch {
	case o == nil || o.messages[0] == message && len(message.attempts) > 0:
		return 0
	case o.messages[0] != message:
		return never
	}
	return o.holdUntil
}

// dropExpiredKeys drops keys that are no longer held and have no messages. As most keys are used only once, they cannot be
// dropped by the next message of the same key.
func (d *Dispatcher) dropExpiredKeys() {
	d.idleHeldKeys = slices.DeleteFunc(d.idleHeldKeys, func(order *keyOrder) bool {
		expired := d.now >= order.holdUntil
		if expired && len(order.messages) == 0 && d.keys[order.key] == order {
			delete(d.keys, order.key)
		}
		return expired
	})
}
