package invariants

// IntervalTotals is what happened in a stretch of a day, by the bins of its series.
type IntervalTotals struct {
	ValueShare          float64 // share of what was asked by messages due in it
	Attempts, Delivered float64
	Throttled, Failed   float64
}

// Interval sums a stretch up, in seconds.
func (s *Series) Interval(from, to float64) (w IntervalTotals) {
	sum := func(values []float64) (n float64) {
		for i, x := range values {
			if at := float64(i) * float64(BinLength) / 1e6; at >= from && at < to {
				n += x
			}
		}
		return n
	}
	if asked := sum(s.OfferedValue); asked > 0 {
		w.ValueShare = sum(s.EarnedValue) / asked
	}
	for _, d := range s.Dests {
		w.Attempts += sum(d.Attempts)
		w.Delivered += sum(d.Delivered)
		w.Throttled += sum(d.Throttled)
		w.Failed += sum(d.Failed)
	}
	return w
}
