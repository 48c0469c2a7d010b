package simulation

import (
	"fmt"
	"testing"

	"pineport/testbed/scenario"
)

// BenchmarkScenario runs scenarios of growing size with the same number of messages for each endpoint, to show how
// the cost grows. It reports messages and courier steps per second of real time, and the speed relative to
// real time.
func BenchmarkScenario(b *testing.B) {
	for _, size := range []struct{ couriers, destinations, perSec int }{{3, 10, 24}, {40, 125, 300}, {220, 500, 1200}, {220, 5000, 12000}} {
		b.Run(fmt.Sprintf("endpoints=%d", 2*size.destinations), func(b *testing.B) {
			if testing.Short() {
				b.Skip("long")
			}
			d, err := scenario.Find("full-size")
			if err != nil {
				b.Fatal(err)
			}
			d.Length, d.Fleet.Couriers, d.RandomFaults.Count = 20, size.couriers, [2]int{} // without faults, since only the cost is measured
			d.Traffic.Destinations, d.Traffic.FullLoadPerSec = size.destinations, float64(size.perSec)
			instance := scenario.Draw(d, 1)
			b.ResetTimer()
			var steps, messages int
			for range b.N {
				v, st, err := Play(instance, NewLocalHost(nil), Options{})
				if err != nil {
					b.Fatal(err)
				}
				steps, messages = steps+st.Steps, messages+v.Counts.Accepted
			}
			span := b.Elapsed().Seconds()
			b.ReportMetric(float64(messages)/span, "records/s")
			b.ReportMetric(float64(steps)/span, "turns/s")
			b.ReportMetric(float64(b.N)*float64(instance.EndsAt)/1e6/span, "x-real-time")
		})
	}
}
