package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	limitSeedMask   = 1 << 34 // makes the seed of lowered limits from that of the run
	limitNamePrefix = "reload with a lower "
	minLimitTime    = 500 * time.Millisecond
	limitTimeSpan   = 3 * time.Second
	// reloadsFrom is how long a process runs before it gets a reload: the platform sends none in the first second.
	reloadsFrom = time.Second
	reloadPoll  = 20 * time.Millisecond
)

// lowerLimits are the limits that a reload lowers under what is in use, by the path of their keys in the configuration.
var lowerLimits = []struct {
	path  string
	value float64
}{{"limits.disk_mb", 0.02}, {"limits.memory_mb", 48}, {"limits.sockets", 64}, {"settings.family-info.slots", 2}, {"settings.ceilings.open-cap", 8}}

// drawLowerLimit draws whether, when and which limit is lowered for a time. It has a random source of its own, so that the other faults of
// a seed stay as they were before.
func drawLowerLimit(rng *rand.Rand, quietPeriod, length time.Duration) []action {
	if rng.Intn(2) == 0 {
		return nil
	}
	at := quietPeriod + time.Duration(rng.Int63n(int64(length-quietPeriod)*3/4))
	name := limitNamePrefix + lowerLimits[rng.Intn(len(lowerLimits))].path
	return []action{{at: at, name: name, duration: minLimitTime + time.Duration(rng.Int63n(int64(limitTimeSpan)))}}
}

func (a action) lowersLimit() bool { return strings.HasPrefix(a.name, limitNamePrefix) }

// lowersSockets reports whether the courier has to close connections during the action.
func (a action) lowersSockets() bool { return a.lowersLimit() && strings.HasSuffix(a.name, ".sockets") }

// lowerLimit reloads the configuration with a lower limit, and with the former one when the action ends.
func (r *run) lowerLimit(ctx context.Context, a action) {
	for _, limit := range lowerLimits {
		if a.name != limitNamePrefix+limit.path {
			continue
		}
		if r.reload(ctx, func(config map[string]any) { setAt(config, limit.path, limit.value) }) {
			r.count(a.name)
		}
	}
	wait(ctx, a.duration)
	r.reload(ctx, func(map[string]any) {})
	r.addToTimeline("%s ended", a.name)
}

// setAt sets a value in nested objects by its path.
func setAt(config map[string]any, path string, value float64) {
	keys := strings.Split(path, ".")
	for _, key := range keys[:len(keys)-1] {
		config = config[key].(map[string]any)
	}
	config[keys[len(keys)-1]] = value
}

// reload replaces the configuration file by one with a change, and sends SIGHUP once the process has run long enough. It reports
// whether a process got the signal.
func (r *run) reload(ctx context.Context, change func(config map[string]any)) bool {
	if err := r.replaceConfiguration(change); err != nil {
		r.reportBreach("the configuration could not be replaced: %v", err)
		return false
	}
	for {
		r.mu.Lock()
		child, settled := r.child, !r.stopRequested && time.Since(r.processStartedAt) > reloadsFrom
		r.mu.Unlock()
		if settled {
			return child.Signal(syscall.SIGHUP) == nil
		}
		if !wait(ctx, reloadPoll) {
			return false
		}
	}
}

// replaceConfiguration replaces the configuration file in one step, since a process may be starting.
func (r *run) replaceConfiguration(change func(config map[string]any)) error {
	var config map[string]any
	if err := json.Unmarshal(r.standIns.CourierConfiguration(fmt.Sprintf("soak-%d", r.options.Seed), r.address), &config); err != nil {
		return err
	}
	change(config)
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	file := filepath.Join(r.dir, "config.json")
	if err := os.WriteFile(file+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(file+".new", file)
}
