package dispatch

// warmShare is the share of its capacity that a group is expected to have, from 0.05 to 1.
func (d *Dispatcher) warmShare(group *endpointGroup) float64 {
	warm := max(d.config.SlowStartInitialShare, 0.05)
	if group.warmingUp {
		warm += (1 - warm) * float64(d.now-group.warmingSince) / float64(max(1, d.config.SlowStart))
		group.warmingUp = warm < 1
	}
	return warm
}

// setDisabled keeps calls from an endpoint that an operator disabled, whatever the list says. Enabled again
// it warms up, as it may have been restarted; where no other endpoint of its group is warm, the whole group
// does. That is too cautious where it was not restarted.
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

// maintenanceInterval is the minimum interval between calls to an endpoint that warms up beside warm ones.
func (d *Dispatcher) maintenanceInterval(endpoint *endpoint) Micros {
	if endpoint.warmingUntil <= d.now {
		return 0
	}
	from := max(d.config.SlowStartInitialShare, 0.05)
	warm := 1 - (1-from)*float64(endpoint.warmingUntil-d.now)/float64(max(1, d.config.SlowStart))
	share := float64(d.fairInterval(endpoint.group)) * float64(len(endpoint.destination.endpoints))
	return Micros(share / warm)
}
