package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"time"

	"pineport/clock"
	"pineport/config"
	"pineport/dispatch"
	"pineport/protocol"
	"pineport/server"
	"pineport/spool"
	"pineport/testbed/slopes"
)

// Sizes and figures of held.
const (
	heldMessages = "messages" // held, all for destinations that are down
	heldDown     = "destinations"
	heldStep     = "step"
	heldArrival  = "step_arrival"
	heldGrowth   = "growth"
	heldModule   = "module"
	heldRouter   = "router"
	heldMemory   = "spool_memory"
	heldDisk     = "spool_disk"
	heldRestart  = "restart"

	heldSteps      = 31 // each of them timed; their median counts
	heldStepsQuick = 5
	heldBody       = 256 // bytes of a message

	// Counts, for the check.
	heldGiven      = "count_given"
	heldStillHeld  = "count_held"
	heldEnded      = "count_ended"
	heldSentDown   = "count_sent_while_parked"
	heldInvalid    = "count_invalid"
	heldArrivals   = "count_arrivals"
	heldDelivered  = "count_delivered"
	heldDrained    = "count_delivered_after_return"
	heldDifferent  = "count_replay_differs"
	heldSpooled    = "count_spooled"
	heldRecovered  = "count_recovered"
	heldFirstEnded = "count_ended_at_restart"
)

// held measures what a backlog costs: messages held for destinations that are down.
type held struct {
	decide   decide
	recovers func(unfinished []*spool.Message) []*spool.Message // what a restart finds of a spool
}

func heldExperiment() Experiment {
	return held{realDecisions, func(unfinished []*spool.Message) []*spool.Message { return unfinished }}.experiment()
}

func (h held) experiment() Experiment {
	return Experiment{Name: "held", Plays: 3, Timed: true,
		About: "Messages held for 10 and for 1,000 destinations that are down, parked behind open breakers: one step of the decision module, " +
			"alone and as a message for a healthy destination comes (medians of 31 steps), bytes of heap by message in module, router and spool " +
			"(bodies of 256 bytes), and a restart until the first step is over (spool, router, first step; no sockets).",
		Measure: h.measure, Fit: fitHeld, Check: checkHeld}
}

func heldSizes(quick bool) (messages, restarted []int) {
	if quick {
		return []int{1000, 3000}, []int{1000, 3000}
	}
	return []int{1000, 10_000, 100_000, 300_000}, []int{1000, 10_000, 100_000}
}

func (h held) measure(ctx context.Context, play *Play) error {
	messages, restarted := heldSizes(play.Quick)
	for _, down := range []int{10, 1000} {
		for _, count := range messages {
			if err := ctx.Err(); err != nil {
				return err
			}
			play.Progress("%d held for %d destinations", count, down)
			h.steps(play, count, down)
		}
		for _, count := range restarted {
			if err := ctx.Err(); err != nil {
				return err
			}
			play.Progress("restart with %d held for %d destinations", count, down)
			if err := h.restart(play, count, down); err != nil {
				return err
			}
		}
	}
	return nil
}

// steps times steps of a courier that holds messages, while nothing falls due and as a message for a healthy destination comes.
func (h held) steps(play *Play, count, down int) {
	sizes := map[string]float64{heldMessages: float64(count), heldDown: float64(down)}
	rounds := heldSteps
	if play.Quick {
		rounds = heldStepsQuick
	}
	ids := messageIDs(count + rounds)
	driver := newDriver(h.decide(courierSettings(play.Seed, 2*count+rounds)), down, len(ids))
	driver.step(0, dispatch.EndpointUpdate{Kind: dispatch.CompleteList, Entries: listings(down + 1)})
	before := heapInUse()
	h.park(driver, ids[:count])
	play.Report(sizes, heldModule, float64(heapInUse())-float64(before))
	parked := driver.counts

	var idle, arrival []float64
	for round := range rounds {
		driver.step(millisecond, dispatch.TimerFired{})
		idle = append(idle, driver.took.Seconds())
		driver.step(millisecond, driver.message(ids[count+round], down))
		arrival = append(arrival, driver.took.Seconds())
		driver.step(millisecond) // hears of the delivery
	}
	play.Report(sizes, heldStep, median(idle))
	play.Report(sizes, heldArrival, median(arrival))
	play.Report(sizes, heldGrowth, median(arrival)/median(idle))

	play.Report(sizes, heldGiven, float64(driver.counts.given))
	play.Report(sizes, heldArrivals, float64(rounds))
	play.Report(sizes, heldDelivered, float64(driver.counts.delivered))
	play.Report(sizes, heldEnded, float64(driver.counts.ended))
	play.Report(sizes, heldStillHeld, float64(driver.counts.given-driver.counts.delivered-driver.counts.ended))
	play.Report(sizes, heldSentDown, float64(driver.counts.sentDown-parked.sentDown))
	play.Report(sizes, heldInvalid, float64(driver.counts.invalid))
	if count == replayed {
		play.Report(sizes, heldDifferent, h.replay(play.Seed, down, ids, count, rounds, driver.trace))
		play.Report(sizes, heldDrained, float64(driver.drain()))
	}
}

// replayed is the size that is played twice, and whose destinations return in the end.
const replayed = 1000

// drain lets all destinations return and gives the courier time to deliver what it holds; it returns how many messages were
// delivered in all.
func (d *memoryDriver) drain() (delivered int) {
	const longest, stepEvery = 600 * second, 20 * millisecond
	d.down = 0
	for until := d.now + longest; d.now < until && d.counts.delivered < d.counts.given; {
		d.step(stepEvery)
	}
	return d.counts.delivered
}

const (
	// Failures open the breakers within parkFor; the first is then still open for longer than all steps that are timed take.
	parkFor  = second
	parkStep = 5 * millisecond
)

// park gives a courier messages for destinations that are down, one each first, until the breakers are open, and then all others.
func (h held) park(driver *memoryDriver, ids []dispatch.MessageID) {
	first := min(driver.down, len(ids))
	driver.step(parkStep, driver.messages(ids, 0, first)...)
	for until := driver.now + parkFor; driver.now < until; {
		driver.step(parkStep)
	}
	driver.step(parkStep, driver.messages(ids, first, len(ids))...)
	driver.step(parkStep)
}

// messages submits those numbered from one up to another, spread over the destinations that are down.
func (d *memoryDriver) messages(ids []dispatch.MessageID, from, to int) []dispatch.Event {
	var events []dispatch.Event
	for number := from; number < to; number++ {
		events = append(events, d.message(ids[number], number%d.down))
	}
	return events
}

// replay plays the same again and tells whether any action differs: 1, or 0.
func (h held) replay(seed int64, down int, ids []dispatch.MessageID, count, rounds int, trace uint64) float64 {
	driver := newDriver(h.decide(courierSettings(seed, 2*count+rounds)), down, len(ids))
	driver.step(0, dispatch.EndpointUpdate{Kind: dispatch.CompleteList, Entries: listings(down + 1)})
	h.park(driver, ids[:count])
	for round := range rounds {
		driver.step(millisecond, dispatch.TimerFired{})
		driver.step(millisecond, driver.message(ids[count+round], down))
		driver.step(millisecond)
	}
	if driver.trace != trace {
		return 1
	}
	return 0
}

// restart writes messages into a spool as a courier does, and measures what reading them takes and what they weigh afterwards.
func (h held) restart(play *Play, count, down int) error {
	sizes := map[string]float64{heldMessages: float64(count), heldDown: float64(down)}
	folder, err := os.MkdirTemp("", "pineport-scale-held-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	disk, err := fillSpool(folder, count, down)
	if err != nil {
		return err
	}
	play.Report(sizes, heldDisk, float64(disk))
	return h.startAgain(play, sizes, folder, count, down)
}

// spoolLimit is room for so many messages: a spool keeps as much again free, and for each message what its attempts may add.
func spoolLimit(messages int) int64 {
	const entry, least = 2048, 1 << 20
	return int64(messages)*2*entry + least
}

// fillSpool writes messages and returns what they take on disk, in bytes.
func fillSpool(folder string, count, down int) (disk int64, err error) {
	kept, _, _, err := spool.Open(folder, spoolLimit(count))
	if err != nil {
		return 0, err
	}
	defer kept.Close()
	body := make([]byte, heldBody)
	for number, id := range messageIDs(count) {
		message := &spool.Message{ID: string(id), Class: className, Destination: number % down, Deadline: int64(realNow() + messageDeadline), Body: body}
		if err := kept.Append(message); err != nil {
			return 0, err
		}
	}
	return kept.Size(), nil
}

const className = "update"

func realNow() dispatch.Micros { return dispatch.Micros(time.Now().UnixMicro()) }

// startAgain does what a process does from its start until it takes clients, but for sockets: it reads the spool, makes the
// event loop and has the decision module handle what was recovered. Times are of these parts alone, bytes are of what stays.
func (h held) startAgain(play *Play, sizes map[string]float64, folder string, count, down int) error {
	settings := courierSettings(play.Seed, 2*count)
	deployment, err := deploymentOf(settings, folder, down)
	if err != nil {
		return err
	}
	heapBefore := heapInUse()

	began := time.Now()
	kept, unfinished, faults, err := spool.Open(folder, spoolLimit(count))
	took := time.Since(began)
	if err != nil || len(faults) > 0 {
		return fmt.Errorf("spool: %w, faults %v", err, faults)
	}
	defer kept.Close()
	unfinished = h.recovers(unfinished)
	heapSpool := heapInUse()

	began = time.Now()
	clk, err := clock.Open(folder, clock.System(), 0)
	if err != nil {
		return err
	}
	router, err := server.New(deployment, kept, unfinished, nil, clk, slog.New(slog.DiscardHandler))
	took += time.Since(began)
	if err != nil {
		return err
	}
	heapRouter := heapInUse()

	events := recovered(unfinished)
	heapEvents := heapInUse()
	driver := newDriver(h.decide(settings), down, count)
	driver.now = realNow()
	driver.step(0, append([]dispatch.Event{dispatch.EndpointUpdate{Kind: dispatch.CachedList, Entries: listings(down)}}, events...)...)
	took += driver.took

	pointers := 8 * float64(cap(unfinished)) // of the slice that is dropped after the start
	pending := float64(heapEvents) - float64(heapRouter)
	play.Report(sizes, heldRestart, took.Seconds())
	play.Report(sizes, heldMemory, float64(heapSpool)-float64(heapBefore)-pointers)
	play.Report(sizes, heldRouter, float64(heapRouter)-float64(heapSpool)-pending)
	play.Report(sizes, heldSpooled, float64(count))
	play.Report(sizes, heldRecovered, float64(len(unfinished)))
	play.Report(sizes, heldFirstEnded, float64(driver.counts.ended))
	keepAlive(router, unfinished, events)
	return nil
}

// recovered is what the event loop tells the decisions of each message at its start, kept in the same way until the first step.
func recovered(unfinished []*spool.Message) []dispatch.Event {
	var events []dispatch.Event
	for _, kept := range unfinished {
		events = append(events, dispatch.MessageRecovered{MessageAccepted: dispatch.MessageAccepted{Message: dispatch.MessageID(kept.ID), Destination: dispatch.DestinationID(kept.Destination),
			Deadline: dispatch.Micros(kept.Deadline)}})
	}
	return events
}

// deploymentOf is the configuration of a real courier whose list names the destinations.
func deploymentOf(settings dispatch.Config, folder string, destinations int) (*config.Deployment, error) {
	type host map[string]any
	var hosts []host
	for destination := range destinations {
		hosts = append(hosts, host{"host": string(endpointOf(destination)), "dial": "127.0.0.1:1", "site": "a", "class": "plain",
			"block": destination, "health": protocol.InService, "share": perDestination})
	}
	known, err := json.Marshal(map[string]any{"seq": 1, "whole": true, "hosts": hosts})
	if err != nil {
		return nil, err
	}
	return &config.Deployment{Name: "hollow", StateDir: folder, MemoryMB: 1024, MaxDescriptors: 1024, DiskMB: 1024, KnownEndpoints: known, Dispatch: settings,
		Classes: []string{className}, Zones: []string{"a"}, EndpointTypes: []string{"plain"}, Retired: map[string]bool{}}, nil
}

func fitHeld(results *Results) error {
	linear := []slopes.Model{slopes.Linear}
	anyGrowth := []slopes.Model{slopes.Constant, slopes.Logarithm, slopes.Linear, slopes.Power}
	flat := []slopes.Model{slopes.Constant, slopes.Logarithm}
	for _, variant := range []struct {
		name string
		down float64
	}{{"few", 10}, {"many", 1000}} {
		for _, curve := range []Curve{
			{Figure: heldStep, About: "one step of the decision module while nothing falls due", Unit: "s", Models: anyGrowth},
			{Figure: heldArrival, About: "one step in which a message for a healthy destination comes and is sent", Unit: "s", Models: anyGrowth},
			{Figure: heldGrowth, About: "a step with such a message over one in which nothing falls due", Unit: "ratio", Models: flat},
			{Figure: heldModule, About: "heap of the decision module for the messages held", Unit: "bytes", Models: linear},
			{Figure: heldRouter, About: "heap of the router for the messages held, its list of destinations included", Unit: "bytes", Models: linear},
			{Figure: heldMemory, About: "heap of the spool for the messages held, with bodies of 256 bytes", Unit: "bytes", Models: linear},
			{Figure: heldDisk, About: "files of the spool with the messages held, with bodies of 256 bytes", Unit: "bytes", Models: linear},
			{Figure: heldRestart, About: "from the start until the first step is over, sockets not counted", Unit: "s", Models: linear},
		} {
			curve.Name, curve.Over = curve.Figure+"."+variant.name, heldMessages
			curve.Where = map[string]float64{heldDown: variant.down}
			if err := results.Fit(curve); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkHeld: all messages given are held still, but for those to the healthy destination, which were delivered, and are delivered
// once all destinations have returned; nothing was sent to one that is down after it was parked; a restart finds all; the same
// play does the same again.
func checkHeld(results *Results) error {
	for _, point := range results.Points() {
		if err := checkHeldPoint(point); err != nil {
			return fmt.Errorf("%v: %w", point.Sizes, err)
		}
	}
	return nil
}

func checkHeldPoint(point slopes.Point) error {
	for play, arrived := range point.Values[heldArrivals] {
		if delivered := point.Values[heldDelivered][play]; delivered != arrived {
			return fmt.Errorf("%v of %v messages for the healthy destination were delivered", delivered, arrived)
		}
	}
	if err := equalCounts(point, heldStillHeld, point.Sizes[heldMessages]); err != nil {
		return err
	}
	for _, figure := range []string{heldEnded, heldSentDown, heldInvalid, heldDifferent, heldFirstEnded} {
		if err := equalCounts(point, figure, 0); err != nil {
			return err
		}
	}
	for play, drained := range point.Values[heldDrained] {
		if given := point.Values[heldGiven][play]; drained != given {
			return fmt.Errorf("%v of %v messages were delivered after all destinations had returned", drained, given)
		}
	}
	for play, spooled := range point.Values[heldSpooled] {
		if found := point.Values[heldRecovered][play]; found != spooled {
			return fmt.Errorf("a restart found %v of %v messages", found, spooled)
		}
	}
	return nil
}

// equalCounts holds every play's count against what is expected; a figure that was not recorded at this size is passed over.
func equalCounts(point slopes.Point, figure string, want float64) error {
	for play, got := range point.Values[figure] {
		if got != want {
			return fmt.Errorf("play %d: %s is %v, not %v", play+1, figure, got, want)
		}
	}
	return nil
}

// median of figures; 0 of none.
func median(figures []float64) float64 {
	if len(figures) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(figures))
	return sorted[len(sorted)/2]
}
