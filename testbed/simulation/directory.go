package simulation

import (
	"maps"

	"pineport/dispatch"
	"pineport/testbed/endpointmodel"
	"pineport/testbed/scenario"
)

// directory is the list of endpoints, and how word of it reaches the couriers.
type directory struct {
	sim     *Sim
	entries map[dispatch.EndpointID]dispatch.EndpointEntry
	down    bool
	pending []func() // what could not be notified while it was down
}

func newDirectory(s *Sim) *directory {
	d := &directory{sim: s, entries: map[dispatch.EndpointID]dispatch.EndpointEntry{}}
	for _, l := range s.w.InitialEntries() {
		d.entries[l.Endpoint] = l
	}
	return d
}

func (d *directory) all() map[dispatch.EndpointID]dispatch.EndpointEntry {
	return maps.Clone(d.entries)
}

// change notes that an entry changed, and tells whoever is notified by itself or watches.
func (d *directory) change(dest int, e endpointmodel.Endpoint, phase dispatch.Phase) {
	l := d.sim.w.Entry(dest, e.ID, e.Zone, phase)
	if phase == dispatch.Removed {
		delete(d.entries, e.ID)
	} else {
		d.entries[e.ID] = l
	}
	for _, c := range d.sim.couriers {
		d.notify(c, l)
	}
}

// notify tells one courier of one change, in the order of changes.
func (d *directory) notify(c *courier, l dispatch.EndpointEntry) {
	if d.down {
		d.pending = append(d.pending, func() { d.notify(c, l) })
		return
	}
	s, life := d.sim, c.life
	c.newsAt = max(c.newsAt, s.now+s.between(s.w.Definition.Directory.ChangeDelay))
	s.after(c.newsAt, func() {
		switch {
		case c.life != life || !c.alive || !c.watching:
		case d.down: // it went down meanwhile
			d.pending = append(d.pending, func() { d.notify(c, l) })
		default:
			d.hear(c, dispatch.PartialList, []dispatch.EndpointEntry{l})
		}
	})
}

// hear hands news to a courier.
func (d *directory) hear(c *courier, how dispatch.UpdateKind, entries []dispatch.EndpointEntry) {
	s := d.sim
	before := c.notified
	if how == dispatch.CompleteList {
		c.notified = map[dispatch.EndpointID]dispatch.EndpointEntry{}
	}
	for _, l := range entries {
		if l.Phase == dispatch.Removed {
			delete(c.notified, l.Endpoint)
		} else {
			c.notified[l.Endpoint] = l
		}
		s.books.EndpointNotified(s.now, c.no, l.Endpoint, l.Phase)
	}
	for id := range before { // what is missing in a whole list is gone
		if _, listed := c.notified[id]; !listed {
			s.books.EndpointNotified(s.now, c.no, id, dispatch.Removed)
		}
	}
	s.tell(c, dispatch.EndpointUpdate{Kind: how, Entries: entries})
}

// fetch answers a courier that asks for the list, or that is notified by itself from its start on.
func (d *directory) fetch(c *courier) {
	s, life := d.sim, c.life
	r := s.w.Definition.Directory.ListTime
	s.after(s.now+s.between(scenario.Range{r[0] / 1000, r[1] / 1000}), func() {
		switch {
		case c.life != life || !c.alive:
		case d.down && s.w.Definition.Directory.Mode == "ask":
			s.tell(c, dispatch.EndpointUpdate{Kind: dispatch.ListFailed})
		case d.down:
			d.pending = append(d.pending, func() { d.fetch(c) })
		default:
			c.watching = true
			d.hear(c, dispatch.CompleteList, inOrder(d.entries))
		}
	})
}

// goDown ends all watches.
func (d *directory) goDown() {
	d.down = true
	if d.sim.w.Definition.Directory.Mode != "ask" {
		return
	}
	for _, c := range d.sim.couriers {
		if c.watching {
			c.watching = false
			d.sim.tell(c, dispatch.EndpointUpdate{Kind: dispatch.ListFailed})
		}
	}
}

// comeUp goes on, and tells what was to be notified.
func (d *directory) comeUp() {
	d.down = false
	pending := d.pending
	d.pending = nil
	for _, tell := range pending {
		tell()
	}
}
