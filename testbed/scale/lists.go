package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"pineport/config"
	"pineport/dispatch"
	"pineport/protocol"
)

// Figures of the endpoint list from discovery.
const (
	figureListBytes      = "list_bytes"
	figureListSeconds    = "list_seconds"
	figureChangeBytes    = "change_bytes"
	figureChangeSeconds  = "change_seconds"
	figureCatchUpBytes   = "catchup_bytes"
	figureCatchUpSeconds = "catchup_seconds"
	figureSkipped        = "unread_entries" // entries that the parser left out
)

// listReceiver is the part of a courier that handles endpoint lists: the parser of package protocol and the dispatcher. The
// bookkeeping of the event loop is left out.
type listReceiver struct {
	courier *dispatch.Dispatcher
	now     dispatch.Micros
	seq     int64
}

func newListReceiver() (*listReceiver, error) {
	text, err := settingsFile(defaultTenants, 0, 0)
	if err != nil {
		return nil, err
	}
	var file struct {
		Settings any `json:"settings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	config, err := config.DispatchConfig(1, config.Flatten(file.Settings))
	if err != nil {
		return nil, err
	}
	return &listReceiver{courier: dispatch.New(config)}, nil
}

// listCost is the cost of one discovery response for a courier.
type listCost struct {
	bytes, skipped int
	spent          time.Duration
}

// receive passes one discovery response to the courier.
func (l *listReceiver) receive(whole bool, hosts []protocol.Endpoint) (cost listCost, err error) {
	l.seq++
	l.now += dispatch.Micros(microsPerSecond)
	text, err := json.Marshal(discoveryList{Seq: l.seq, Whole: whole, Hosts: hosts})
	if err != nil {
		return cost, err
	}
	begun := time.Now()
	list, err := protocol.ReadList(text)
	if err != nil {
		return cost, err
	}
	update := dispatch.EndpointUpdate{Kind: dispatch.PartialList, Entries: make([]dispatch.EndpointEntry, 0, len(list.Hosts))}
	if list.Complete {
		update.Kind = dispatch.CompleteList
	}
	for _, host := range list.Hosts {
		update.Entries = append(update.Entries, entryFromHost(host))
	}
	l.courier.Handle(l.now, []dispatch.Event{update})
	return listCost{bytes: len(text), skipped: len(hosts) - len(list.Hosts), spent: time.Since(begun)}, nil
}

// entryFromHost converts an entry as the event loop does.
func entryFromHost(host protocol.Endpoint) dispatch.EndpointEntry {
	phases := map[protocol.Health]dispatch.Phase{protocol.InService: dispatch.InService, protocol.Draining: dispatch.Draining, protocol.Removed: dispatch.Removed}
	return dispatch.EndpointEntry{Endpoint: dispatch.EndpointID(host.Host), Destination: dispatch.DestinationID(host.Destination), Phase: phases[host.Health], Rate: host.Rate}
}

func measureLists(ctx context.Context, play *Play) error {
	listed, waiting, catchUpListed := []int{100, 1000, 10000, 100000}, []int{24, 240, changesInAnHour}, 10000
	if play.Quick {
		listed, waiting, catchUpListed = []int{100, 300, 1000}, []int{24, 80, 240}, 1000
	}
	for _, n := range listed {
		if err := ctx.Err(); err != nil {
			return err
		}
		play.Progress("endpoint list with %d endpoints", n)
		if err := measureList(play, n); err != nil {
			return err
		}
	}
	for _, n := range waiting {
		play.Progress("%d accumulated changes", n)
		if err := measureCatchUp(play, catchUpListed, n); err != nil {
			return err
		}
	}
	return nil
}

// measureList sends a courier a complete list, the same list again, and then several single changes.
func measureList(play *Play, listed int) error {
	const changeCount = 5
	l, err := newListReceiver()
	if err != nil {
		return err
	}
	hosts := listedHosts(listed)
	first, err := l.receive(true, hosts)
	if err != nil {
		return err
	}
	again, err := l.receive(true, hosts)
	if err != nil {
		return err
	}
	var total listCost
	for i := range changeCount {
		host := hosts[i*listed/changeCount]
		host.Health = protocol.Draining
		cost, err := l.receive(false, []protocol.Endpoint{host})
		if err != nil {
			return err
		}
		total = listCost{total.bytes + cost.bytes, total.skipped + cost.skipped, total.spent + cost.spent}
	}
	sizes := map[string]float64{sizeListed: float64(listed)}
	for figure, value := range map[string]float64{
		figureListBytes: float64(again.bytes), figureListSeconds: again.spent.Seconds(), figureChangeBytes: float64(total.bytes) / changeCount,
		figureChangeSeconds: total.spent.Seconds() / changeCount, figureSkipped: float64(first.skipped + again.skipped + total.skipped),
	} {
		play.Report(sizes, figure, value)
	}
	return nil
}

// measureCatchUp sends all changes that accumulated while a courier was cut off, in one response, to a courier that already
// has the list.
func measureCatchUp(play *Play, listed, waiting int) error {
	l, err := newListReceiver()
	if err != nil {
		return err
	}
	hosts := listedHosts(listed)
	if _, err := l.receive(true, hosts); err != nil {
		return err
	}
	changed := make([]protocol.Endpoint, 0, waiting)
	for i := range waiting {
		host := hosts[i*listed/waiting]
		host.Health = protocol.Draining
		changed = append(changed, host)
	}
	cost, err := l.receive(false, changed)
	if err != nil {
		return err
	}
	if cost.skipped > 0 {
		return fmt.Errorf("the parser left out %d of %d changes", cost.skipped, waiting)
	}
	sizes := map[string]float64{sizeAccumulated: float64(waiting), sizeListed: float64(listed)}
	play.Report(sizes, figureCatchUpBytes, float64(cost.bytes))
	play.Report(sizes, figureCatchUpSeconds, cost.spent.Seconds())
	return nil
}
