package dispatch

import "math"

// What messages are worth, as the configuration has it: priority weights and how they decay after the latency objective.

// lossRate is the most that a message of a class loses of its value, per microsecond of delay.
func (d *Dispatcher) lossRate(class *Class) float64 {
	if d.config.Decay == HalvingDecay {
		return class.Priority / 2 / float64(max(class.Objective, 1))
	}
	return class.Priority * (1 - class.LateFactor) / float64(max(class.TimeToLive-class.Objective, 1))
}

// valueAt is what delivering a message at an instant is worth, in units of the priority weight.
func (d *Dispatcher) valueAt(message *message, at Micros) float64 {
	late, class := float64(at-message.objectiveAt), message.class
	switch {
	case at >= message.deadline:
		return 0
	case late <= 0:
		return message.priority
	case d.config.Decay == HalvingDecay:
		return message.priority * max(class.LateFactor, math.Exp2(-late/float64(class.Objective)))
	}
	return message.priority * (1 - (1-class.LateFactor)*late/float64(message.deadline-message.objectiveAt))
}
