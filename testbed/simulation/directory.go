package simulation

import (
	"maps"

	"pineport/dispatch"
	"pineport/testbed/endpointmodel"
	"pineport/testbed/scenario"
)

// directory simulates discovery: the endpoint list and its distribution to the couriers. In the mode "push"
// it sends changes to all couriers from their start on; in the mode "ask" only to those that requested the
// list since their last failed watch.
type directory struct {
	sim     *Sim
	entries map[dispatch.EndpointID]dispatch.EndpointEntry
	down    bool
	pending []func() // updates held back while the directory is down
}

func newDirectory(s *Sim) *directory {
	d := &directory{sim: s, entries: map[dispatch.EndpointID]dispatch.EndpointEntry{}}
	for _, entry := range s.instance.InitialEntries() {
		d.entries[entry.Endpoint] = entry
	}
	return d
}

func (d *directory) snapshot() map[dispatch.EndpointID]dispatch.EndpointEntry {
	return maps.Clone(d.entries)
}

// update changes an entry and sends the change to the couriers. The directory drops it for a courier that
// does not watch when the change would arrive.
func (d *directory) update(dest int, e endpointmodel.Endpoint, phase dispatch.Phase) {
	entry := d.sim.instance.Entry(dest, e.ID, e.Zone, phase)
	if phase == dispatch.Removed {
		delete(d.entries, e.ID)
	} else {
		d.entries[e.ID] = entry
	}
	for _, c := range d.sim.couriers {
		d.notify(c, entry)
	}
}

// notify sends one change to one courier after a random delay. Changes arrive in order.
func (d *directory) notify(c *courier, entry dispatch.EndpointEntry) {
	if d.down {
		d.pending = append(d.pending, func() { d.notify(c, entry) })
		return
	}
	s, incarnation := d.sim, c.incarnation
	c.lastChangeArrivesAt = max(c.lastChangeArrivesAt, s.now+s.randomDuration(s.instance.Definition.Directory.ChangeDelay))
	s.schedule(c.lastChangeArrivesAt, func() {
		switch {
		case c.incarnation != incarnation || !c.alive || !c.watching:
		case d.down: // the directory went down in the meantime
			d.pending = append(d.pending, func() { d.notify(c, entry) })
		default:
			d.apply(c, dispatch.PartialList, []dispatch.EndpointEntry{entry})
		}
	})
}

// apply updates a courier's known entries and hands the update to the courier.
func (d *directory) apply(c *courier, kind dispatch.UpdateKind, entries []dispatch.EndpointEntry) {
	s := d.sim
	before := c.knownEntries
	if kind == dispatch.CompleteList {
		c.knownEntries = map[dispatch.EndpointID]dispatch.EndpointEntry{}
	}
	for _, entry := range entries {
		if entry.Phase == dispatch.Removed {
			delete(c.knownEntries, entry.Endpoint)
		} else {
			c.knownEntries[entry.Endpoint] = entry
		}
		s.ledger.EndpointNotified(s.now, c.index, entry.Endpoint, entry.Phase)
	}
	for id := range before { // an endpoint that is missing from a complete list was removed
		if _, listed := c.knownEntries[id]; !listed {
			s.ledger.EndpointNotified(s.now, c.index, id, dispatch.Removed)
		}
	}
	s.notify(c, dispatch.EndpointUpdate{Kind: kind, Entries: entries})
}

// fetch sends the complete list to a courier that requested it, or that starts in push mode.
func (d *directory) fetch(c *courier) {
	s, incarnation := d.sim, c.incarnation
	r := s.instance.Definition.Directory.ListTime
	s.schedule(s.now+s.randomDuration(scenario.Range{r[0] / 1000, r[1] / 1000}), func() {
		switch {
		case c.incarnation != incarnation || !c.alive:
		case d.down && s.instance.Definition.Directory.Mode == "ask":
			s.notify(c, dispatch.EndpointUpdate{Kind: dispatch.ListFailed})
		case d.down:
			d.pending = append(d.pending, func() { d.fetch(c) })
		default:
			c.watching = true
			d.apply(c, dispatch.CompleteList, sortedEntries(d.entries))
		}
	})
}

// goDown stops the directory. In the mode "ask" it ends all watches with a failure; in the mode "push"
// updates wait until it is up again.
func (d *directory) goDown() {
	d.down = true
	if d.sim.instance.Definition.Directory.Mode != "ask" {
		return
	}
	for _, c := range d.sim.couriers {
		if c.watching {
			c.watching = false
			d.sim.notify(c, dispatch.EndpointUpdate{Kind: dispatch.ListFailed})
		}
	}
}

// comeUp restarts the directory and sends the updates that were held back.
func (d *directory) comeUp() {
	d.down = false
	pending := d.pending
	d.pending = nil
	for _, notify := range pending {
		notify()
	}
}
