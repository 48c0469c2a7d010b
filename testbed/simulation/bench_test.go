package simulation

import (
	"fmt"
	"testing"

	"pineport/testbed/scenario"
)

// BenchmarkDay plays days at growing size, with as many messages for each endpoint: how cost grows is the question. It
// reports messages and steps of couriers a second of real time, and how much faster than real time that is.
func BenchmarkDay(b *testing.B) {
	for _, size := range []struct{ couriers, destinations, perSec int }{{3, 10, 24}, {40, 125, 300}, {220, 500, 1200}, {220, 5000, 12000}} {
		b.Run(fmt.Sprintf("endpoints=%d", 2*size.destinations), func(b *testing.B) {
			if testing.Short() {
				b.Skip("long")
			}
			d, err := scenario.Find("full-size")
			if err != nil {
				b.Fatal(err)
			}
			d.Length, d.Fleet.Couriers, d.RandomFaults.Count = 20, size.couriers, [2]int{} // calm: what rules do is not the question
			d.Traffic.Destinations, d.Traffic.FullLoadPerSec = size.destinations, float64(size.perSec)
			w := scenario.Draw(d, 1)
			b.ResetTimer()
			var turns, messages int
			for range b.N {
				v, st, err := Play(w, NewLocalHost(nil), Options{})
				if err != nil {
					b.Fatal(err)
				}
				turns, messages = turns+st.Turns, messages+v.Counts.Accepted
			}
			span := b.Elapsed().Seconds()
			b.ReportMetric(float64(messages)/span, "records/s")
			b.ReportMetric(float64(turns)/span, "turns/s")
			b.ReportMetric(float64(b.N)*float64(w.EndsAt)/1e6/span, "x-real-time")
		})
	}
}
