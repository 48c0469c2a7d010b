package invariants

import (
	"slices"

	"pineport/dispatch"
)

// BinLength is the length of the interval of one value in a series.
const BinLength = dispatch.Micros(500 * 1000)

// Series holds the totals of a run over time, in bins of half a second.
type Series struct {
	OfferedValue, EarnedValue []float64 // value offered and value earned, in the bin in which the message was due to be submitted
	OpenMessages              []float64 // accepted messages without a final answer, at the end of the bin
	Dests                     []*DestSeries
}

// DestSeries holds the traffic of one destination over time.
type DestSeries struct {
	Dest                                   dispatch.DestinationID
	Offered                                []float64
	Attempts, Delivered, Throttled, Failed []float64
	Outages                                [][2]float64 // start and end of each outage, in seconds
	routesWithOutage                       int
}

type series struct {
	open      int
	openByBin []float64
	dests     map[dispatch.DestinationID]*DestSeries
}

// addToBin adds a number to the bin of a time. Times before the start of the run belong to the first bin.
func addToBin(s []float64, at dispatch.Micros, n float64) []float64 {
	i := max(0, int(at/BinLength))
	for len(s) <= i {
		s = append(s, 0)
	}
	s[i] += n
	return s
}

func (s *series) changeOpen(at dispatch.Micros, n int) {
	s.open += n
	i := max(0, int(at/BinLength))
	for len(s.openByBin) <= i {
		s.openByBin = append(s.openByBin, -1) // no change in this bin
	}
	s.openByBin[i] = float64(s.open)
}

func (s *series) dest(id dispatch.DestinationID) *DestSeries {
	d := s.dests[id]
	if d == nil {
		d = &DestSeries{Dest: id}
		s.dests[id] = d
	}
	return d
}

func (s *series) countAttempt(at dispatch.Micros, id dispatch.DestinationID) {
	d := s.dest(id)
	d.Attempts = addToBin(d.Attempts, at, 1)
}

func (s *series) countOutcome(at dispatch.Micros, id dispatch.DestinationID, o dispatch.Outcome) {
	switch d := s.dest(id); o {
	case dispatch.Delivered:
		d.Delivered = addToBin(d.Delivered, at, 1)
	case dispatch.Throttled:
		d.Throttled = addToBin(d.Throttled, at, 1)
	case dispatch.Unprocessed, dispatch.Canceled:
	default:
		d.Failed = addToBin(d.Failed, at, 1)
	}
}

// routeOutage records that an outage of a route started or ended. A destination has an outage while any of its routes has one.
func (s *series) routeOutage(at dispatch.Micros, id dispatch.DestinationID, on bool) {
	d := s.dest(id)
	switch {
	case on:
		if d.routesWithOutage++; d.routesWithOutage == 1 {
			d.Outages = append(d.Outages, [2]float64{float64(at) / 1e6, -1})
		}
	default:
		if d.routesWithOutage--; d.routesWithOutage == 0 {
			d.Outages[len(d.Outages)-1][1] = float64(at) / 1e6
		}
	}
}

func (s *series) finish(l *Ledger, end dispatch.Micros) *Series {
	out, bins := &Series{}, int(end/BinLength)+1
	for _, o := range l.originOrder {
		out.OfferedValue = addToBin(out.OfferedValue, o.at, o.value)
		out.EarnedValue = addToBin(out.EarnedValue, o.at, o.earned)
		d := s.dest(o.dest)
		d.Offered = addToBin(d.Offered, o.at, 1)
	}
	level := 0.0
	for _, h := range s.openByBin {
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
