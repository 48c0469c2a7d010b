package main

import (
	"testing"
	"time"

	"pineport/membership/gossip"
)

// TestMemberAtAddressOfGoneOne: a courier that comes up, under another name, at the address of a member that was killed is not taken for it:
// the killed one is found to have failed, and the new one is a member of its own.
func TestMemberAtAddressOfGoneOne(t *testing.T) {
	world := newUpgradeWorld(t)
	observerAddress, reused := freePort(t), freePort(t)
	observer, err := gossip.Open(gossip.Options{Name: "observer", Incarnation: 1, FleetSize: 3, Fleet: "f", Listen: observerAddress, Interval: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer observer.HandOff()
	states := func() map[string]string {
		found := map[string]string{}
		for _, member := range observer.Snapshot().Members {
			found[string(member.Name)] = member.State.String()
		}
		return found
	}
	start := func(name string) *testCourier {
		c := newCourier(t, world)
		configurePeers(t, c.dir, true, observerAddress)
		editConfig(t, c.dir, func(top map[string]any) {
			top["name"] = name
			top["peers"].(map[string]any)["listen"] = reused
		})
		c.start()
		waitFor(t, name+" to be alive", 10*time.Second, func() bool { return states()[name] == "alive" })
		return c
	}
	gone := start("gone")
	gone.cmd.Process.Kill()
	gone.cmd.Wait()
	start("newcomer")
	waitFor(t, "the killed courier to have failed", 20*time.Second, func() bool { return states()["gone"] == "failed" })
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if got := states(); got["gone"] != "failed" || got["newcomer"] != "alive" {
			t.Fatalf("states %v", got)
		}
	}
}
