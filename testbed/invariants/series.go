package invariants

import (
	"slices"

	"pineport/dispatch"
)

// BinLength is the span of one point of a series.
const BinLength = dispatch.Micros(500 * 1000)

// Series is a day over time, in bins of half a second.
type Series struct {
	OfferedValue, EarnedValue []float64 // value, by when the message was due
	OpenMessages              []float64 // messages taken and not ended, at the end of the bin
	Dests                     []*DestSeries
}

// DestSeries is what went to one destination.
type DestSeries struct {
	Dest                                   dispatch.DestinationID
	Offered                                []float64
	Attempts, Delivered, Throttled, Failed []float64
	Outages                                [][2]float64 // in seconds
	routesOut                              int
}

type series struct {
	holding int
	heldAt  []float64
	dests   map[dispatch.DestinationID]*DestSeries
}

// put adds to a bin; what lies before the day counts to its first bin.
func put(s []float64, at dispatch.Micros, n float64) []float64 {
	i := max(0, int(at/BinLength))
	for len(s) <= i {
		s = append(s, 0)
	}
	s[i] += n
	return s
}

func (s *series) held(at dispatch.Micros, n int) {
	s.holding += n
	i := max(0, int(at/BinLength))
	for len(s.heldAt) <= i {
		s.heldAt = append(s.heldAt, -1) // unchanged
	}
	s.heldAt[i] = float64(s.holding)
}

func (s *series) dest(id dispatch.DestinationID) *DestSeries {
	d := s.dests[id]
	if d == nil {
		d = &DestSeries{Dest: id}
		s.dests[id] = d
	}
	return d
}

func (s *series) call(at dispatch.Micros, id dispatch.DestinationID) {
	d := s.dest(id)
	d.Attempts = put(d.Attempts, at, 1)
}

func (s *series) settled(at dispatch.Micros, id dispatch.DestinationID, o dispatch.Outcome) {
	switch d := s.dest(id); o {
	case dispatch.Delivered:
		d.Delivered = put(d.Delivered, at, 1)
	case dispatch.Throttled:
		d.Throttled = put(d.Throttled, at, 1)
	case dispatch.Unprocessed, dispatch.Canceled:
	default:
		d.Failed = put(d.Failed, at, 1)
	}
}

// out notes that a route of a destination went out or came back; the destination is out while any of them is.
func (s *series) out(at dispatch.Micros, id dispatch.DestinationID, on bool) {
	d := s.dest(id)
	switch {
	case on:
		if d.routesOut++; d.routesOut == 1 {
			d.Outages = append(d.Outages, [2]float64{float64(at) / 1e6, -1})
		}
	default:
		if d.routesOut--; d.routesOut == 0 {
			d.Outages[len(d.Outages)-1][1] = float64(at) / 1e6
		}
	}
}

func (s *series) finish(l *Ledger, end dispatch.Micros) *Series {
	out, bins := &Series{}, int(end/BinLength)+1
	for _, o := range l.order {
		out.OfferedValue = put(out.OfferedValue, o.at, o.value)
		out.EarnedValue = put(out.EarnedValue, o.at, o.won)
		d := s.dest(o.dest)
		d.Offered = put(d.Offered, o.at, 1)
	}
	level := 0.0
	for _, h := range s.heldAt {
		if h >= 0 {
			level = h
		}
		out.OpenMessages = append(out.OpenMessages, level)
	}
	pad := func(all ...*[]float64) {
		for _, p := range all {
			for len(*p) < bins {
				*p = append(*p, 0)
			}
		}
	}
	pad(&out.OfferedValue, &out.EarnedValue, &out.OpenMessages)
	for _, d := range s.dests {
		pad(&d.Offered, &d.Attempts, &d.Delivered, &d.Throttled, &d.Failed)
		for i := range d.Outages {
			if d.Outages[i][1] < 0 {
				d.Outages[i][1] = float64(end) / 1e6
			}
		}
		out.Dests = append(out.Dests, d)
	}
	slices.SortFunc(out.Dests, func(a, b *DestSeries) int { return int(a.Dest - b.Dest) })
	return out
}
