package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pineport/testbed/scripted"
)

// TestShadowConfiguration runs couriers with a shadow configuration. If the shadow configuration has a single slot, calls that it would have delayed
// are counted in the log line as later=N, and messages are delivered as usual. With identical settings later is 0. A shadow file with an error is
// reported before the courier listens.
func TestShadowConfiguration(t *testing.T) {
	world, err := scripted.Open(1, func(string) scripted.Response {
		return scripted.Response{Status: 200, Delay: 150 * time.Millisecond}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
	for _, slots := range []float64{0, 1} { // slots of the shadow configuration; 0: unchanged
		c := newCourier(t, world)
		file, shadowFile := filepath.Join(c.dir, "config.json"), filepath.Join(c.dir, "to-come.json")
		write := func(path string, change func(top map[string]any)) {
			var top map[string]any
			if err := json.Unmarshal(world.CourierConfiguration("n0", c.listen), &top); err != nil {
				t.Fatal(err)
			}
			change(top)
			text, err := json.Marshal(top)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, text, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		writeShadow := func(slots float64) {
			write(shadowFile, func(top map[string]any) {
				if slots != 0 {
					top["settings"].(map[string]any)["family-info"].(map[string]any)["slots"] = slots
				}
			})
		}
		write(file, func(top map[string]any) {
			top["watch"] = map[string]any{"file": shadowFile, "every_s": 0.2}
		})
		writeShadow(-1) // invalid
		out, err := runCommand("run", "--config", file, "--state", filepath.Join(c.dir, "state"))
		if output := fmt.Sprint(out, err); err == nil || !strings.Contains(output, "watch.file") ||
			!strings.Contains(output, "settings.family-info.slots") {
			t.Errorf("invalid shadow configuration: got %s, want an error that names watch.file and the key", output)
		}
		writeShadow(slots)
		c.start()
		var commands []string
		for i := range 6 {
			commands = append(commands, encodeEnqueue(fmt.Sprintf("w%v-%d", slots, i), "update", 6000))
		}
		c.send(commands...)
		for i := range 6 {
			id := fmt.Sprintf("w%v-%d", slots, i)
			waitFor(t, id, 5*time.Second, func() bool { _, done, _ := world.MessageCalls(id); return done == 1 })
		}
		c.cmd.Process.Signal(os.Interrupt)
		c.cmd.Wait()
		output := c.logText()
		line := output[strings.LastIndex(output, "shadow configuration compared"):]
		differs := !strings.Contains(line, " later=0 ")
		if differs != (slots == 1) {
			t.Errorf("with %v slots in the shadow configuration: %s", slots, line)
		}
	}
}
