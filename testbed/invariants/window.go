package invariants

// Within holds the totals of an interval of a run.
type Within struct {
	Priority       float64 // share of the offered value that was earned, for messages due in the interval
	Calls, Done    float64
	Refused, Fails float64
}

// Between returns the totals of the bins that start in an interval; its bounds are in seconds.
func (s *Series) Between(from, to float64) (w Within) {
	sum := func(values []float64) (n float64) {
		for i, x := range values {
			if at := float64(i) * float64(Bin) / 1e6; at >= from && at < to {
				n += x
			}
		}
		return n
	}
	if asked := sum(s.Asked); asked > 0 {
		w.Priority = sum(s.Won) / asked
	}
	for _, d := range s.Dests {
		w.Calls += sum(d.Calls)
		w.Done += sum(d.Done)
		w.Refused += sum(d.Full)
		w.Fails += sum(d.Failed)
	}
	return w
}
