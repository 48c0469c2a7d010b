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

// Figures of real couriers that reload their settings on SIGHUP.
const (
	figureRealReload           = "hangup_median_seconds"
	figureRealReloadWorst      = "hangup_worst_seconds"
	figureRealReloadEverywhere = "hangup_everywhere_seconds" // median time from a change until the last courier has applied it
	sizeReal                   = "real_couriers"
)

const (
	realCouriers    = 10
	realChanges     = 20
	readyTimeout    = 20 * time.Second
	reloadTimeout   = 10 * time.Second
	logPollInterval = 2 * time.Millisecond
	// reloadedLine is the message that a courier logs after it has applied new settings.
	reloadedLine = "configuration reloaded"
)

// measureRealReloads measures, in full runs only, how long real couriers take to apply new settings on SIGHUP.
func measureRealReloads(ctx context.Context, play *Play) error {
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
	fleet, err := startRealCouriers(ctx, world, play.Courier, folder)
	defer func() {
		for _, c := range fleet {
			c.Kill()
		}
	}()
	if err != nil {
		return err
	}
	var all, slowest []float64
	for generation := 1; generation <= realChanges; generation++ {
		took, err := reloadAll(ctx, fleet, world, generation)
		if err != nil {
			return err
		}
		all, slowest = append(all, took...), append(slowest, slices.Max(took))
	}
	slices.Sort(all)
	slices.Sort(slowest)
	sizes := map[string]float64{sizeReal: realCouriers}
	play.Report(sizes, figureRealReload, stat.Quantile(0.5, stat.Empirical, all, nil))
	play.Report(sizes, figureRealReloadWorst, stat.Quantile(worstQuantile, stat.Empirical, all, nil))
	play.Report(sizes, figureRealReloadEverywhere, stat.Quantile(0.5, stat.Empirical, slowest, nil))
	return nil
}

// startRealCouriers starts the couriers one by one. On error it also returns those that it has created.
func startRealCouriers(ctx context.Context, world *scripted.World, binary, folder string) (fleet []*process.Courier, err error) {
	for i := range realCouriers {
		c, err := process.New(i, binary, folder, func(int, string) {})
		if err != nil {
			return fleet, err
		}
		if err := writeRealConfig(c, world, 0); err != nil {
			return fleet, err
		}
		fleet = append(fleet, c)
		if err := c.Start(readyTimeout); err != nil {
			return fleet, err
		}
		if err := ctx.Err(); err != nil {
			return fleet, err
		}
	}
	return fleet, nil
}

// writeRealConfig writes the configuration file of a courier. Each generation sets a different queue limit (open-cap).
func writeRealConfig(c *process.Courier, world *scripted.World, generation int) error {
	var file map[string]any
	if err := json.Unmarshal(world.CourierConfiguration(fmt.Sprintf("n%d", c.Number), c.Listen), &file); err != nil {
		return err
	}
	ceilings := file["settings"].(map[string]any)["ceilings"].(map[string]any)
	ceilings["open-cap"] = 200 + generation
	file["log"] = map[string]any{"repeats_s": 0} // do not suppress repeated log lines
	return c.Configure(file)
}

// reloadAll writes the files of all couriers, sends SIGHUP to each, and returns the seconds that each took to reload.
func reloadAll(ctx context.Context, fleet []*process.Courier, world *scripted.World, generation int) ([]float64, error) {
	for _, c := range fleet {
		if err := writeRealConfig(c, world, generation); err != nil {
			return nil, err
		}
	}
	durations, errs := make([]float64, len(fleet)), make([]error, len(fleet))
	var all sync.WaitGroup
	begun := time.Now()
	for i, c := range fleet {
		c.Signal(syscall.SIGHUP)
		all.Go(func() {
			errs[i] = waitForReload(ctx, c, generation)
			durations[i] = time.Since(begun).Seconds()
		})
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return durations, nil
}

// waitForReload waits until the log of a courier contains the given number of reloads.
func waitForReload(ctx context.Context, c *process.Courier, reloads int) error {
	deadline := time.Now().Add(reloadTimeout)
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
		case <-time.After(logPollInterval):
		}
	}
	return fmt.Errorf("courier %d did not reload its settings within %v of SIGHUP", c.Number, reloadTimeout)
}
