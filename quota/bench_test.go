package quota

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkTick measures a tick of one courier that receives samples of all groups from all other couriers: time, bytes sent and memory.
func BenchmarkTick(b *testing.B) {
	for _, size := range [][2]int{{10, 10}, {10, 1000}, {100, 100}, {300, 10}, {300, 1000}} {
		couriers, groups := size[0], size[1]
		b.Run(fmt.Sprintf("%d couriers, %d groups", couriers, groups), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := New(1, Config{Self: "n0", Incarnation: 1, Couriers: couriers, Seed: 1})
			var alive []string
			for i := 1; i < couriers; i++ {
				alive = append(alive, fmt.Sprintf("n%d", i))
			}
			now, sentBytes := 10*second, 0
			tick := func(n int) {
				now += second / 2
				var all []Demand
				for r := range groups {
					all = append(all, Demand{Key: Key{Dest: int32(r)}, Limit: 100, Calls: uint64(n * (1 + r%3))})
				}
				for _, a := range c.Handle(now, FleetChanged{couriers, alive}, DemandsChanged{all}, Tick{}) {
					if action, ok := a.(SendPacket); ok {
						text, err := Encode(action.Packet)
						if err != nil {
							b.Fatal(err)
						}
						sentBytes += len(text)
					}
				}
			}
			receiveAll := func(n int) {
				for i := 1; i < couriers; i++ {
					for r := 0; r < groups; r += 10 {
						packet := Packet{Version: Version, From: alive[i-1]}
						for k := r; k < min(r+10, groups); k++ {
							packet.Samples = append(packet.Samples, Sample{Key: Key{Dest: int32(k)}, Courier: alive[i-1], Incarnation: 1, Sequence: uint64(n), Usage: 100})
						}
						c.Handle(now, PacketReceived{packet})
					}
				}
			}
			tick(1)
			receiveAll(1)
			tick(2)
			runtime.GC()
			runtime.ReadMemStats(&after)
			retained := float64(after.HeapAlloc) - float64(before.HeapAlloc)
			sentBytes = 0
			b.ResetTimer()
			for n := range b.N {
				if n%4 == 3 {
					b.StopTimer()
					receiveAll(n)
					b.StartTimer()
				}
				tick(n + 3)
			}
			b.ReportMetric(float64(sentBytes)/float64(b.N), "bytes/beat")
			b.ReportMetric(retained/1024, "KiB-kept")
		})
	}
}
