package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"pineport/config"
	"pineport/dispatch"
	"pineport/protocol"
)

// Figures of settings that are reloaded.
const (
	figureReload          = "reload_seconds"
	figureReloadCores     = "reload_cores"
	figureSettingsHeap    = "reload_kept_bytes"
	figureReloadUsed      = "reload_used_bytes"
	figureFile            = "file_bytes"
	figureInForce         = "in_force" // 1 if the deployment holds the settings of the file, otherwise 0
	figureRollout         = "handout_seconds"
	figureStale           = "stale_ratio" // share of couriers with previous settings after all are reachable again
	figureStaleAfterRetry = "stale_again" // couriers with previous settings after a second rollout
	figureMissed          = "missed"      // couriers that were reachable but do not use the new settings
)

const (
	// defaultTenants and defaultKnown are the numbers of tenants and known endpoints in a file while the other one varies.
	defaultTenants = 10
	defaultKnown   = 10
	// generationQuota is the quota of the first tenant at generation 0. Each generation adds 1 to it, which identifies the
	// settings of a courier.
	generationQuota = 1000
	// Of each cutOffEvery couriers, the first is cut off during a rollout and the second restarts.
	cutOffEvery = 10
)

// configCourier is a courier of which only configuration and dispatcher run. Its file is in a folder of its own.
type configCourier struct {
	file, state string
	deployment  *config.Deployment
	courier     *dispatch.Dispatcher
}

// settingsFile returns the configuration file of a courier.
func settingsFile(tenants, known, generation int) ([]byte, error) {
	var entries []any
	for i := range tenants {
		quota := generationQuota
		if i == 0 {
			quota += generation
		}
		entries = append(entries, map[string]any{"name": fmt.Sprintf("tenant-%d", i), "quota-per-s": quota})
	}
	class := func(name, idempotency string) map[string]any {
		return map[string]any{"name": name, "idempotency": idempotency, "points": 1, "slo-s": 1.0, "deadline-s": 8.0, "late-worth": 0.5,
			"dedup-window-s": 5.0, "group": "all"}
	}
	return json.MarshalIndent(map[string]any{
		"name": "n0", "listen": "127.0.0.1:6379", "discovery": "127.0.0.1:8500", "seed": "8c1f30d27a5be964",
		"known":  discoveryList{Seq: 1, Whole: true, Hosts: listedHosts(known)},
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"settings": map[string]any{
			"classes": []any{class("update", "free"), class("order", "single_shot")}, "tenants": entries,
			"zones": []string{listedZone}, "shapes": []string{listedEndpointType}, "fleet-size": 1, "ordinal": 0, "locality": 0,
			"tick-s": 0.005, "discovery": "subscribe", "weight-kind": "nominal",
			"family-info": map[string]any{"slots": 20, "decay": "halves", "per-call": []int{1}, "separate-routes": []bool{false}},
			"ceilings": map[string]any{"open-cap": 200, "try-limit": 6, "may-cancel": true, "retry-after": true, "max-retry-after-s": 2.0,
				"conn-idle-s": 5.0, "connect-timeout-s": 1.0},
			"rules": map[string]any{"cold-from": 0.2, "ramp-time-s": 10.0, "fall-multiple": 2.0},
		},
	}, "", " ")
}

// startHollow writes a configuration file and starts a courier with it.
func startHollow(folder string, tenants, known int) (*configCourier, error) {
	h := &configCourier{file: filepath.Join(folder, "config.json"), state: filepath.Join(folder, "state")}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	if err := h.write(tenants, known, 0); err != nil {
		return nil, err
	}
	return h, h.start()
}

func (h *configCourier) write(tenants, known, generation int) error {
	text, err := settingsFile(tenants, known, generation)
	if err != nil {
		return err
	}
	return os.WriteFile(h.file, text, 0o644)
}

// read reads the file as a courier does at its start, or on SIGHUP if isReload is set.
func (h *configCourier) read(isReload bool) (*config.Deployment, error) {
	return config.LoadFrom(config.Sources{Getenv: func(string) string { return "" }, File: h.file, State: h.state, IsReload: isReload})
}

func (h *configCourier) start() (err error) {
	if h.deployment, err = h.read(false); err != nil {
		return err
	}
	h.courier = dispatch.New(h.deployment.Dispatch)
	return nil
}

// reload does what a courier does on SIGHUP: see process.handleHangups in cmd/pineport and Server.reload in package server.
func (h *configCourier) reload(now dispatch.Micros) error {
	next, err := h.read(true)
	if err != nil {
		return err
	}
	if restartKeys := h.deployment.RestartKeys(next); len(restartKeys) > 0 {
		return fmt.Errorf("%s: keys that need a restart have changed: %v", h.file, restartKeys)
	}
	merged := h.deployment.Merged(next)
	if !h.deployment.SameDispatch(merged) {
		h.courier.Handle(now, []dispatch.Event{dispatch.Reconfigured{Config: merged.Dispatch}})
	}
	h.deployment = merged
	return nil
}

// generation returns the generation of the settings in the deployment.
func (h *configCourier) generation() int {
	return int(h.deployment.Dispatch.Tenants[0].RatePerSecond) - generationQuota
}

// fileSize is the content of a settings file to be measured, with the name of the size that varies.
type fileSize struct {
	size           string
	tenants, known int
}

func fileSizes(quick bool) (all []fileSize) {
	tenants, known := []int{10, 100, 1000, 10000}, []int{10, 100, 1000, 10000}
	if quick {
		tenants, known = []int{10, 100, 300}, []int{10, 100, 300}
	}
	for _, n := range tenants {
		all = append(all, fileSize{sizeTenants, n, defaultKnown})
	}
	for _, n := range known {
		all = append(all, fileSize{sizeKnown, defaultTenants, n})
	}
	return all
}

func measureReloads(ctx context.Context, play *Play) error {
	folder, err := os.MkdirTemp("", "pineport-testbed-scale-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	for i, size := range fileSizes(play.Quick) {
		if err := ctx.Err(); err != nil {
			return err
		}
		play.Progress("settings with %d tenants and %d known endpoints", size.tenants, size.known)
		if err := size.measure(play, filepath.Join(folder, fmt.Sprint(i))); err != nil {
			return err
		}
	}
	return nil
}

func (size fileSize) measure(play *Play, folder string) error {
	reloads := 10
	if size.tenants >= 10000 || play.Quick {
		reloads = 3
	}
	before := heapInUse()
	h, err := startHollow(folder, size.tenants, size.known)
	if err != nil {
		return err
	}
	kept := float64(heapInUse()) - float64(before)
	var spent time.Duration
	var used uint64
	inForce := 1.0
	for generation := 1; generation <= reloads; generation++ {
		if err := h.write(size.tenants, size.known, generation); err != nil {
			return err
		}
		usedBefore, begun := totalAllocated(), processorTime()
		if err := h.reload(dispatch.Micros(generation) * dispatch.Micros(microsPerSecond)); err != nil {
			return err
		}
		spent += processorTime() - begun
		used += totalAllocated() - usedBefore
		if h.generation() != generation {
			inForce = 0
		}
	}
	info, err := os.Stat(h.file)
	if err != nil {
		return err
	}
	seconds := spent.Seconds() / float64(reloads)
	sizes := map[string]float64{size.size: float64(size.tenants)}
	if size.size == sizeKnown {
		sizes = map[string]float64{size.size: float64(size.known)}
	}
	for figure, value := range map[string]float64{figureReload: seconds, figureReloadCores: seconds * changesPerSecond, figureSettingsHeap: kept,
		figureReloadUsed: float64(used) / float64(reloads), figureFile: float64(info.Size()), figureInForce: inForce} {
		play.Report(sizes, figure, value)
	}
	runtime.KeepAlive(h)
	return nil
}

// totalAllocated returns the bytes that this process has allocated so far, freed objects included.
func totalAllocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

// changeFleets returns the fleet sizes for which changes are measured.
func changeFleets(quick bool) []int {
	if quick {
		return []int{10, 20, 30}
	}
	return []int{10, 30, 100, 300}
}

func measureRollouts(ctx context.Context, play *Play) error {
	folder, err := os.MkdirTemp("", "pineport-testbed-scale-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	for _, couriers := range changeFleets(play.Quick) {
		if err := ctx.Err(); err != nil {
			return err
		}
		play.Progress("rollout of settings to %d couriers", couriers)
		if err := measureRollout(play, filepath.Join(folder, fmt.Sprint(couriers)), couriers); err != nil {
			return err
		}
	}
	return nil
}

// measureRollout rolls settings out to a fleet in which some couriers are cut off and some restart, and repeats the rollout
// when all are reachable again.
func measureRollout(play *Play, folder string, couriers int) error {
	var fleet []*configCourier
	for i := range couriers {
		h, err := startHollow(filepath.Join(folder, fmt.Sprint(i)), defaultTenants, defaultKnown)
		if err != nil {
			return err
		}
		fleet = append(fleet, h)
	}
	var spent time.Duration
	for i, h := range fleet {
		if i%cutOffEvery == 0 {
			continue // cut off: its file cannot be written
		}
		if err := h.write(defaultTenants, defaultKnown, 1); err != nil {
			return err
		}
		begun := processorTime()
		if err := h.apply(i%cutOffEvery == 1); err != nil {
			return err
		}
		spent += processorTime() - begun
	}
	stale, missed := 0, 0
	for i, h := range fleet {
		if h.generation() == 1 {
			continue
		}
		stale++
		if i%cutOffEvery != 0 {
			missed++
		}
	}
	staleAfterRetry := 0
	for _, h := range fleet {
		if err := h.write(defaultTenants, defaultKnown, 1); err != nil {
			return err
		}
		if err := h.apply(false); err != nil {
			return err
		}
		if h.generation() != 1 {
			staleAfterRetry++
		}
	}
	sizes := map[string]float64{sizeCouriers: float64(couriers)}
	for figure, value := range map[string]float64{figureRollout: spent.Seconds(), figureStale: float64(stale) / float64(couriers), figureMissed: float64(missed), figureStaleAfterRetry: float64(staleAfterRetry)} {
		play.Report(sizes, figure, value)
	}
	return nil
}

// apply makes a courier read its file, by a restart or by a reload.
func (h *configCourier) apply(restarts bool) error {
	if restarts {
		return h.start()
	}
	return h.reload(dispatch.Micros(microsPerSecond))
}

const (
	listedZone         = "a"
	listedEndpointType = "plain"
)

// discoveryList is the endpoint list in the JSON form that discovery sends.
type discoveryList struct {
	Seq   int64               `json:"seq"`
	Whole bool                `json:"whole"`
	Hosts []protocol.Endpoint `json:"hosts"`
}

// listedHosts returns n list entries, each for a destination of its own.
func listedHosts(n int) []protocol.Endpoint {
	hosts := make([]protocol.Endpoint, 0, n)
	for i := range n {
		hosts = append(hosts, protocol.Endpoint{Host: fmt.Sprintf("e%d-0", i), Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16&255, i>>8&255, i&255),
			Zone: listedZone, EndpointType: listedEndpointType, Destination: i, Health: protocol.InService, Rate: 50})
	}
	return hosts
}
