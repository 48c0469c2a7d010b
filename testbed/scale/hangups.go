package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"gonum.org/v1/gonum/stat"

	"pineport/testbed/process"
	"pineport/testbed/scripted"
)

// Figures of real couriers that are sent SIGHUP.
const (
	figureHangup           = "hangup_median_seconds"
	figureHangupWorst      = "hangup_worst_seconds"
	figureHangupEverywhere = "hangup_everywhere_seconds" // the median change, at the last courier
	sizeReal               = "real_couriers"
)

const (
	realCouriers  = 10
	realChanges   = 20
	readyWithin   = 20 * time.Second
	inForceWithin = 10 * time.Second
	logPolled     = 2 * time.Millisecond
	// reloadedLine is what a courier logs once it goes by settings read anew.
	reloadedLine = "configuration reloaded"
)

// measureHangups has real couriers take over settings at SIGHUP, in full runs.
func measureHangups(ctx context.Context, play *Play) error {
	if play.Quick {
		return nil
	}
	folder, err := os.MkdirTemp("", "pineport-testbed-scale-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	world, err := scripted.Open(1, func(string) scripted.Response { return scripted.Response{Status: 200} })
	if err != nil {
		return err
	}
	defer world.Close()
	play.Progress("%d real couriers", realCouriers)
	fleet, err := startReal(ctx, world, play.Courier, folder)
	defer func() {
		for _, c := range fleet {
			c.Kill()
		}
	}()
	if err != nil {
		return err
	}
	var each, last []float64
	for generation := 1; generation <= realChanges; generation++ {
		took, err := hangUpAll(ctx, fleet, world, generation)
		if err != nil {
			return err
		}
		each, last = append(each, took...), append(last, slices.Max(took))
	}
	slices.Sort(each)
	slices.Sort(last)
	sizes := map[string]float64{sizeReal: realCouriers}
	play.Report(sizes, figureHangup, stat.Quantile(0.5, stat.Empirical, each, nil))
	play.Report(sizes, figureHangupWorst, stat.Quantile(worstOf, stat.Empirical, each, nil))
	play.Report(sizes, figureHangupEverywhere, stat.Quantile(0.5, stat.Empirical, last, nil))
	return nil
}

// startReal starts couriers one after the other; those that were started are returned with an error, too.
func startReal(ctx context.Context, world *scripted.World, binary, folder string) (fleet []*process.Courier, err error) {
	for i := range realCouriers {
		c, err := process.New(i, binary, folder, func(int, string) {})
		if err != nil {
			return fleet, err
		}
		if err := configureReal(c, world, 0); err != nil {
			return fleet, err
		}
		fleet = append(fleet, c)
		if err := c.Start(readyWithin); err != nil {
			return fleet, err
		}
		if err := ctx.Err(); err != nil {
			return fleet, err
		}
	}
	return fleet, nil
}

// configureReal writes a courier's file: of each generation, another number of messages that it may hold.
func configureReal(c *process.Courier, world *scripted.World, generation int) error {
	var file map[string]any
	if err := json.Unmarshal(world.CourierConfiguration(fmt.Sprintf("n%d", c.Number), c.Listen), &file); err != nil {
		return err
	}
	ceilings := file["settings"].(map[string]any)["ceilings"].(map[string]any)
	ceilings["open-cap"] = 200 + generation
	file["log"] = map[string]any{"repeats_s": 0} // each line is written
	return c.Configure(file)
}

// hangUpAll writes each courier's file, sends all of them SIGHUP, and tells how many seconds each took to go by it.
func hangUpAll(ctx context.Context, fleet []*process.Courier, world *scripted.World, generation int) ([]float64, error) {
	for _, c := range fleet {
		if err := configureReal(c, world, generation); err != nil {
			return nil, err
		}
	}
	took, faults := make([]float64, len(fleet)), make([]error, len(fleet))
	var all sync.WaitGroup
	begun := time.Now()
	for i, c := range fleet {
		c.Signal(syscall.SIGHUP)
		all.Go(func() {
			faults[i] = waitForReload(ctx, c, generation)
			took[i] = time.Since(begun).Seconds()
		})
	}
	all.Wait()
	for _, fault := range faults {
		if fault != nil {
			return nil, fault
		}
	}
	return took, nil
}

// waitForReload waits until a courier's log tells of so many reloads.
func waitForReload(ctx context.Context, c *process.Courier, reloads int) error {
	deadline := time.Now().Add(inForceWithin)
	for time.Now().Before(deadline) {
		text, err := os.ReadFile(filepath.Join(c.Dir, "log"))
		if err != nil {
			return err
		}
		if bytes.Count(text, []byte(reloadedLine)) >= reloads {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(logPolled):
		}
	}
	return fmt.Errorf("courier %d did not take over its settings within %v of SIGHUP", c.Number, inForceWithin)
}
