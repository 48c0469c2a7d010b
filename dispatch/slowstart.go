package dispatch

// warmShare returns the share of its full capacity that a group is expected to have while it is in an outage
// or warms up, at least 0.05. It ends the warm-up when the share reaches 1.
func (d *Dispatcher) warmShare(group *endpointGroup) float64 {
	warm := max(d.config.SlowStartInitialShare, 0.05)
	if group.warmingUp {
		warm += (1 - warm) * float64(d.now-group.warmingSince) / float64(max(1, d.config.SlowStart))
		group.warmingUp = warm < 1
	}
	return warm
}

// setDisabled prevents calls to an endpoint that an operator disabled, regardless of its phase on the list.
// An endpoint that is enabled again warms up, as it may have been restarted; if no other endpoint of its
// group is warm, the whole group is treated as in an outage, and warms up from the next delivery on. This is
// too cautious if the endpoint was not restarted.
func (d *Dispatcher) setDisabled(event MaintenanceChanged) {
	endpoint, wasDisabled := d.endpoints[event.Endpoint], d.disabled[event.Endpoint]
	if d.disabled[event.Endpoint] = event.Disabled; event.Disabled {
		return
	}
	if delete(d.disabled, event.Endpoint); endpoint == nil || !wasDisabled {
		return
	}
	endpoint.failureRun, endpoint.classRuns = failureRun{}, d.newFailureRuns()
	endpoint.warmingUntil = d.now + d.config.SlowStart
	for _, other := range endpoint.destination.endpoints {
		available := other.Phase == InService && !d.disabled[other.Endpoint]
		if other.group == endpoint.group && available && other.warmingUntil <= d.now {
			return
		}
	}
	d.markOutage(endpoint.group)
}

// warmupInterval returns the minimum interval between calls to an endpoint that warms up after an operator
// enabled it again; 0 if it is warm.
func (d *Dispatcher) warmupInterval(endpoint *endpoint) Micros {
	if endpoint.warmingUntil <= d.now {
		return 0
	}
	initial := max(d.config.SlowStartInitialShare, 0.05)
	warm := 1 - (1-initial)*float64(endpoint.warmingUntil-d.now)/float64(max(1, d.config.SlowStart))
	warmInterval := float64(d.fairInterval(endpoint.group)) * float64(len(endpoint.destination.endpoints))
	return Micros(warmInterval / warm)
}
