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

// Sizes and figures of the experiment held.
const (
	heldMessages     = "messages" // held messages, all for destinations that are down
	heldDestinations = "destinations"
	heldStep         = "step"
	heldArrival      = "step_arrival"
	heldArrivalRatio = "growth"
	heldModuleHeap   = "module"
	heldRouterHeap   = "router"
	heldSpoolMemory  = "spool_memory"
	heldSpoolDisk    = "spool_disk"
	heldRestart      = "restart"

	heldSteps      = 31 // number of timed steps; the median is reported
	heldStepsQuick = 5
	heldBody       = 256 // bytes of a message body

	// Counts that the check validates.
	heldSubmitted            = "count_given"
	heldStillHeld            = "count_held"
	heldEnded                = "count_ended"
	heldSentWhileParked      = "count_sent_while_parked"
	heldInvalid              = "count_invalid"
	heldArrivals             = "count_arrivals"
	heldDelivered            = "count_delivered"
	heldDeliveredAfterReturn = "count_delivered_after_return"
	heldReplayDiffers        = "count_replay_differs"
	heldSpooled              = "count_spooled"
	heldRecovered            = "count_recovered"
	heldEndedAtRestart       = "count_ended_at_restart"
)

// held measures the cost of a backlog of messages for destinations that are down.
type held struct {
	newDecider    deciderFactory
	afterRecovery func(unfinished []*spool.Message) []*spool.Message // replaces the messages recovered by a restart, for tests
}

func heldExperiment() Experiment {
	return held{newDispatcher, func(unfinished []*spool.Message) []*spool.Message { return unfinished }}.experiment()
}

func (h held) experiment() Experiment {
	return Experiment{Name: "held", Plays: 3, Timed: true,
		About: "The cost of messages held for 10 and for 1,000 destinations that are down and parked: time of an idle step of the decision module and of one " +
			"with a message for a healthy destination (medians of 31 steps), heap of module, router and spool (bodies of 256 bytes), " +
			"and time of a restart until the end of the first step (spool, router and first step, without sockets).",
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
			play.Progress("%d messages held for %d destinations", count, down)
			h.measureSteps(play, count, down)
		}
		for _, count := range restarted {
			if err := ctx.Err(); err != nil {
				return err
			}
			play.Progress("restart with %d messages held for %d destinations", count, down)
			if err := h.restart(play, count, down); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureSteps measures steps of a courier that holds messages: steps in which nothing is due, and steps with a new message
// for a healthy destination.
func (h held) measureSteps(play *Play, count, down int) {
	sizes := map[string]float64{heldMessages: float64(count), heldDestinations: float64(down)}
	rounds := heldSteps
	if play.Quick {
		rounds = heldStepsQuick
	}
	ids := messageIDs(count + rounds)
	driver := newDriver(h.newDecider(courierSettings(play.Seed, 2*count+rounds)), down, len(ids))
	driver.step(0, dispatch.EndpointUpdate{Kind: dispatch.CompleteList, Entries: destinationEntries(down + 1)})
	before := heapInUse()
	h.park(driver, ids[:count])
	play.Report(sizes, heldModuleHeap, float64(heapInUse())-float64(before))
	parked := driver.counts

	var idle, arrival []float64
	for round := range rounds {
		driver.step(millisecond, dispatch.TimerFired{})
		idle = append(idle, driver.stepDuration.Seconds())
		driver.step(millisecond, driver.newMessage(ids[count+round], down))
		arrival = append(arrival, driver.stepDuration.Seconds())
		driver.step(millisecond) // passes the outcome of the delivery
	}
	play.Report(sizes, heldStep, median(idle))
	play.Report(sizes, heldArrival, median(arrival))
	play.Report(sizes, heldArrivalRatio, median(arrival)/median(idle))

	play.Report(sizes, heldSubmitted, float64(driver.counts.submitted))
	play.Report(sizes, heldArrivals, float64(rounds))
	play.Report(sizes, heldDelivered, float64(driver.counts.delivered))
	play.Report(sizes, heldEnded, float64(driver.counts.rejectedOrFailed))
	play.Report(sizes, heldStillHeld, float64(driver.counts.submitted-driver.counts.delivered-driver.counts.rejectedOrFailed))
	play.Report(sizes, heldSentWhileParked, float64(driver.counts.sentWhileDown-parked.sentWhileDown))
	play.Report(sizes, heldInvalid, float64(driver.counts.invalid))
	if count == replayedMessages {
		play.Report(sizes, heldReplayDiffers, h.replay(play.Seed, down, ids, count, rounds, driver.traceHash))
		play.Report(sizes, heldDeliveredAfterReturn, float64(driver.deliverBacklog()))
	}
}

// replayedMessages is the number of messages at which the steps are replayed, and at which the destinations return at the end.
const replayedMessages = 1000

// deliverBacklog returns all destinations to service and runs steps until all messages are delivered, for at most 600 s of virtual
// time. It returns the total number of messages delivered.
func (d *memoryDriver) deliverBacklog() (delivered int) {
	const longest, stepEvery = 600 * second, 20 * millisecond
	d.downCount = 0
	for until := d.now + longest; d.now < until && d.counts.delivered < d.counts.submitted; {
		d.step(stepEvery)
	}
	return d.counts.delivered
}

const (
	// Failures open the breakers within parkDuration. After that, even the breaker that opened first stays open for longer
	// than all timed steps take.
	parkDuration = second
	parkStep     = 5 * millisecond
)

// park submits one message to each destination that is down, waits until the breakers are open, and then submits the others.
func (h held) park(driver *memoryDriver, ids []dispatch.MessageID) {
	first := min(driver.downCount, len(ids))
	driver.step(parkStep, driver.newMessages(ids, 0, first)...)
	for until := driver.now + parkDuration; driver.now < until; {
		driver.step(parkStep)
	}
	driver.step(parkStep, driver.newMessages(ids, first, len(ids))...)
	driver.step(parkStep)
}

// newMessages returns the events that submit the messages with the numbers from to to-1, spread over the destinations that
// are down.
func (d *memoryDriver) newMessages(ids []dispatch.MessageID, from, to int) []dispatch.Event {
	var events []dispatch.Event
	for number := from; number < to; number++ {
		events = append(events, d.newMessage(ids[number], number%d.downCount))
	}
	return events
}

// replay repeats the play of measureSteps and returns 1 if any action differs, otherwise 0.
func (h held) replay(seed int64, down int, ids []dispatch.MessageID, count, rounds int, trace uint64) float64 {
	driver := newDriver(h.newDecider(courierSettings(seed, 2*count+rounds)), down, len(ids))
	driver.step(0, dispatch.EndpointUpdate{Kind: dispatch.CompleteList, Entries: destinationEntries(down + 1)})
	h.park(driver, ids[:count])
	for round := range rounds {
		driver.step(millisecond, dispatch.TimerFired{})
		driver.step(millisecond, driver.newMessage(ids[count+round], down))
		driver.step(millisecond)
	}
	if driver.traceHash != trace {
		return 1
	}
	return 0
}

// restart writes messages to a spool as a courier does, and measures time and memory of a restart with that spool.
func (h held) restart(play *Play, count, down int) error {
	sizes := map[string]float64{heldMessages: float64(count), heldDestinations: float64(down)}
	folder, err := os.MkdirTemp("", "pineport-scale-held-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	disk, err := fillSpool(folder, count, down)
	if err != nil {
		return err
	}
	play.Report(sizes, heldSpoolDisk, float64(disk))
	return h.measureRecovery(play, sizes, folder, count, down)
}

// spoolLimit returns a disk limit that is sufficient for the given number of messages: 2,048 bytes for the record of each
// message and the 1,024 bytes that a spool reserves for its attempts, doubled, because live messages may use only half of the
// limit, plus 1 MiB.
func spoolLimit(messages int) int64 {
	const entry, least = 2048, 1 << 20
	return int64(messages)*2*entry + least
}

// fillSpool writes messages to a spool and returns its size on disk in bytes.
func fillSpool(folder string, count, down int) (disk int64, err error) {
	store, _, _, err := spool.Open(folder, spoolLimit(count))
	if err != nil {
		return 0, err
	}
	defer store.Close()
	body := make([]byte, heldBody)
	for number, id := range messageIDs(count) {
		message := &spool.Message{ID: string(id), Class: className, Destination: number % down, Deadline: int64(wallClock() + messageDeadline), Body: body}
		if err := store.Append(message); err != nil {
			return 0, err
		}
	}
	return store.Size(), nil
}

const className = "update"

func wallClock() dispatch.Micros { return dispatch.Micros(time.Now().UnixMicro()) }

// measureRecovery does what a process does from its start until it accepts clients, except for sockets: it reads the spool,
// creates the event loop and passes the recovered messages to the decision module. It reports the time of these parts only,
// and the memory that stays allocated.
func (h held) measureRecovery(play *Play, sizes map[string]float64, folder string, count, down int) error {
	settings := courierSettings(play.Seed, 2*count)
	deployment, err := newDeployment(settings, folder, down)
	if err != nil {
		return err
	}
	heapBefore := heapInUse()

	began := time.Now()
	store, unfinished, faults, err := spool.Open(folder, spoolLimit(count))
	took := time.Since(began)
	if err != nil || len(faults) > 0 {
		return fmt.Errorf("spool: %w, faults %v", err, faults)
	}
	defer store.Close()
	unfinished = h.afterRecovery(unfinished)
	heapSpool := heapInUse()

	began = time.Now()
	clk, err := clock.Open(folder, clock.System(), 0)
	if err != nil {
		return err
	}
	router, err := server.New(deployment, store, unfinished, nil, clk, slog.New(slog.DiscardHandler))
	took += time.Since(began)
	if err != nil {
		return err
	}
	heapRouter := heapInUse()

	events := recoveryEvents(unfinished)
	heapEvents := heapInUse()
	driver := newDriver(h.newDecider(settings), down, count)
	driver.now = wallClock()
	driver.step(0, append([]dispatch.Event{dispatch.EndpointUpdate{Kind: dispatch.CachedList, Entries: destinationEntries(down)}}, events...)...)
	took += driver.stepDuration

	pointers := 8 * float64(cap(unfinished))             // bytes of the pointers in the slice unfinished, which is freed after the start
	pending := float64(heapEvents) - float64(heapRouter) // recovery events, which the router holds as well until its first step
	play.Report(sizes, heldRestart, took.Seconds())
	play.Report(sizes, heldSpoolMemory, float64(heapSpool)-float64(heapBefore)-pointers)
	play.Report(sizes, heldRouterHeap, float64(heapRouter)-float64(heapSpool)-pending)
	play.Report(sizes, heldSpooled, float64(count))
	play.Report(sizes, heldRecovered, float64(len(unfinished)))
	play.Report(sizes, heldEndedAtRestart, float64(driver.counts.rejectedOrFailed))
	keepAlive(router, unfinished, events)
	return nil
}

// recoveryEvents returns the events that the event loop passes to the decision module for recovered messages. As in the
// event loop, all of them are in memory until the first step.
func recoveryEvents(unfinished []*spool.Message) []dispatch.Event {
	var events []dispatch.Event
	for _, message := range unfinished {
		events = append(events, dispatch.MessageRecovered{MessageAccepted: dispatch.MessageAccepted{Message: dispatch.MessageID(message.ID), Destination: dispatch.DestinationID(message.Destination),
			Deadline: dispatch.Micros(message.Deadline)}})
	}
	return events
}

// newDeployment returns the configuration of a real courier whose endpoint list holds the destinations.
func newDeployment(settings dispatch.Config, folder string, destinations int) (*config.Deployment, error) {
	type host map[string]any
	var hosts []host
	for destination := range destinations {
		hosts = append(hosts, host{"host": string(endpointID(destination)), "dial": "127.0.0.1:1", "site": "a", "class": "plain",
			"block": destination, "health": protocol.InService, "share": destinationRate})
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
	constantOrLog := []slopes.Model{slopes.Constant, slopes.Logarithm}
	for _, variant := range []struct {
		name string
		down float64
	}{{"few", 10}, {"many", 1000}} {
		for _, curve := range []Curve{
			{Figure: heldStep, About: "one step of the decision module in which nothing is due", Unit: "s", Models: anyGrowth},
			{Figure: heldArrival, About: "one step in which a message for a healthy destination arrives and is sent", Unit: "s", Models: anyGrowth},
			{Figure: heldArrivalRatio, About: "ratio of a step with such a message to one in which nothing is due", Unit: "ratio", Models: constantOrLog},
			{Figure: heldModuleHeap, About: "heap of the decision module for the held messages", Unit: "bytes", Models: linear},
			{Figure: heldRouterHeap, About: "heap of the router for the held messages, its list of destinations included", Unit: "bytes", Models: linear},
			{Figure: heldSpoolMemory, About: "heap of the spool for the held messages, with bodies of 256 bytes", Unit: "bytes", Models: linear},
			{Figure: heldSpoolDisk, About: "files of the spool with the held messages, with bodies of 256 bytes", Unit: "bytes", Models: linear},
			{Figure: heldRestart, About: "from the start until the end of the first step, without sockets", Unit: "s", Models: linear},
		} {
			curve.Name, curve.Over = curve.Figure+"."+variant.name, heldMessages
			curve.Where = map[string]float64{heldDestinations: variant.down}
			if err := results.Fit(curve); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkHeld fails unless all messages for the healthy destination are delivered, all others stay held and are delivered after
// all destinations have returned, nothing is sent to a parked destination, a restart recovers every message and ends none, and
// a replay produces the same actions.
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
	for _, figure := range []string{heldEnded, heldSentWhileParked, heldInvalid, heldReplayDiffers, heldEndedAtRestart} {
		if err := equalCounts(point, figure, 0); err != nil {
			return err
		}
	}
	for play, drained := range point.Values[heldDeliveredAfterReturn] {
		if given := point.Values[heldSubmitted][play]; drained != given {
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

// equalCounts fails if the figure differs from want in any play. A figure that was not recorded at this point passes.
func equalCounts(point slopes.Point, figure string, want float64) error {
	for play, got := range point.Values[figure] {
		if got != want {
			return fmt.Errorf("play %d: %s is %v, want %v", play+1, figure, got, want)
		}
	}
	return nil
}

// median returns the median, or the upper one of the two middle values of an even number. It returns 0 for no values.
func median(figures []float64) float64 {
	if len(figures) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(figures))
	return sorted[len(sorted)/2]
}
