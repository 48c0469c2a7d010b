package dispatch

import "math"

// This file computes the value of messages from the configuration: priority weights and their decay after the
// latency objective.

// valueLossRate returns the loss of value of a message of a class after its objective, per microsecond of delay. With
// HalvingDecay it is the average over one further objective.
func (d *Dispatcher) valueLossRate(class *Class) float64 {
	if d.config.Decay == HalvingDecay {
		return class.Priority / 2 / float64(max(class.Objective, 1))
	}
	return class.Priority * (1 - class.LateFactor) / float64(max(class.TimeToLive-class.Objective, 1))
}

// valueAt returns the value of delivering a message at an instant, in units of the priority weight.
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
