package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pineport/testbed/scripted"
)

// TestSharedCallsFitABody guards against calls of several messages whose body is larger than the 64 KiB that a body holds: an endpoint
// refused them, and all of their messages were given up. Small messages must still share calls.
func TestSharedCallsFitABody(t *testing.T) {
	const messages, perCall, ttlMs = 30, 20, 6000
	for _, bodySize := range []int{1000, 10_000, 20_000, 40_000} {
		t.Run(fmt.Sprint(bodySize), func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int64
			world, err := scripted.Open(1, func(string) scripted.Response {
				calls.Add(1)
				return scripted.Response{Status: 200, Delay: 100 * time.Millisecond}
			})
			if err != nil {
				t.Fatal(err)
			}
			defer world.Close()
			c := newCourier(t, world)
			editConfig(t, c.dir, func(top map[string]any) {
				family := top["settings"].(map[string]any)["family-info"].(map[string]any)
				family["slots"], family["per-call"], family["separate-routes"] = 2, []int{perCall}, []bool{true}
			})
			c.start()
			var commands []string
			for i := range messages {
				commands = append(commands, encodeCommand("ENQUEUE", "0", fmt.Sprint("message-", i), fmt.Sprintf("c=update,d=%d,dest=1", ttlMs), strings.Repeat("x", bodySize)))
			}
			for i, reply := range c.send(commands...) {
				if reply != "+OK" {
					t.Fatalf("message %d: %s", i, reply)
				}
			}
			for i := range messages {
				id := fmt.Sprint("message-", i)
				waitFor(t, id, ttlMs*time.Millisecond, func() bool { _, delivered, _ := world.MessageCalls(id); return delivered == 1 })
			}
			if broken := world.Violations(); broken.OversizedCalls > 0 {
				t.Errorf("%d calls had a body over 64 KiB", broken.OversizedCalls)
			}
			if most := int64(messages * 2 / 3); bodySize <= 20_000 && calls.Load() > most {
				t.Errorf("%d messages took %d calls, want %d at most: they do not share calls", messages, calls.Load(), most)
			}
		})
	}
}
