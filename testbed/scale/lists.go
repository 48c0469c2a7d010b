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

// Figures of discovery's list.
const (
	figureListBytes      = "list_bytes"
	figureListSeconds    = "list_seconds"
	figureChangeBytes    = "change_bytes"
	figureChangeSeconds  = "change_seconds"
	figureCatchUpBytes   = "catchup_bytes"
	figureCatchUpSeconds = "catchup_seconds"
	figureUnread         = "unread_entries" // entries that did not come through
)

// lister is a courier that is notified lists: protocol's parser and the decisions, the event loop's books left out.
type lister struct {
	courier *dispatch.Dispatcher
	now     dispatch.Micros
	seq     int64
}

func newLister() (*lister, error) {
	text, err := settingsFile(fewTenants, 0, 0)
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
	return &lister{courier: dispatch.New(config)}, nil
}

// listCost is what one answer of discovery costs a courier.
type listCost struct {
	bytes, unread int
	spent         time.Duration
}

// tell hands the courier one answer of discovery.
func (l *lister) tell(whole bool, hosts []protocol.Endpoint) (cost listCost, err error) {
	l.seq++
	l.now += dispatch.Micros(microsPerSecond)
	text, err := json.Marshal(listText{Seq: l.seq, Whole: whole, Hosts: hosts})
	if err != nil {
		return cost, err
	}
	begun := time.Now()
	list, err := protocol.ReadList(text)
	if err != nil {
		return cost, err
	}
	news := dispatch.EndpointUpdate{Kind: dispatch.PartialList, Entries: make([]dispatch.EndpointEntry, 0, len(list.Hosts))}
	if list.Complete {
		news.Kind = dispatch.CompleteList
	}
	for _, host := range list.Hosts {
		news.Entries = append(news.Entries, listingOf(host))
	}
	l.courier.Handle(l.now, []dispatch.Event{news})
	return listCost{bytes: len(text), unread: len(hosts) - len(list.Hosts), spent: time.Since(begun)}, nil
}

// listingOf is what the event loop makes of an entry.
func listingOf(host protocol.Endpoint) dispatch.EndpointEntry {
	phases := map[protocol.Health]dispatch.Phase{protocol.InService: dispatch.InService, protocol.Draining: dispatch.Draining, protocol.Removed: dispatch.Removed}
	return dispatch.EndpointEntry{Endpoint: dispatch.EndpointID(host.Host), Destination: dispatch.DestinationID(host.Destination), Phase: phases[host.Health], Rate: host.Rate}
}

func measureLists(ctx context.Context, play *Play) error {
	listed, waiting, listedMeanwhile := []int{100, 1000, 10000, 100000}, []int{24, 240, changesInAnHour}, 10000
	if play.Quick {
		listed, waiting, listedMeanwhile = []int{100, 300, 1000}, []int{24, 80, 240}, 1000
	}
	for _, n := range listed {
		if err := ctx.Err(); err != nil {
			return err
		}
		play.Progress("a list of %d endpoints", n)
		if err := measureList(play, n); err != nil {
			return err
		}
	}
	for _, n := range waiting {
		play.Progress("%d changes that waited", n)
		if err := measureCatchUp(play, listedMeanwhile, n); err != nil {
			return err
		}
	}
	return nil
}

// measureList tells a courier a list, the same list again, and some changes of it one by one.
func measureList(play *Play, listed int) error {
	const changesNotified = 5
	l, err := newLister()
	if err != nil {
		return err
	}
	hosts := listedHosts(listed)
	first, err := l.tell(true, hosts)
	if err != nil {
		return err
	}
	again, err := l.tell(true, hosts)
	if err != nil {
		return err
	}
	var all listCost
	for i := range changesNotified {
		host := hosts[i*listed/changesNotified]
		host.Health = protocol.Draining
		cost, err := l.tell(false, []protocol.Endpoint{host})
		if err != nil {
			return err
		}
		all = listCost{all.bytes + cost.bytes, all.unread + cost.unread, all.spent + cost.spent}
	}
	sizes := map[string]float64{sizeListed: float64(listed)}
	for figure, value := range map[string]float64{
		figureListBytes: float64(again.bytes), figureListSeconds: again.spent.Seconds(), figureChangeBytes: float64(all.bytes) / changesNotified,
		figureChangeSeconds: all.spent.Seconds() / changesNotified, figureUnread: float64(first.unread + again.unread + all.unread),
	} {
		play.Report(sizes, figure, value)
	}
	return nil
}

// measureCatchUp tells a courier that knows a list what changed of it while it was cut off, in one answer.
func measureCatchUp(play *Play, listed, waiting int) error {
	l, err := newLister()
	if err != nil {
		return err
	}
	hosts := listedHosts(listed)
	if _, err := l.tell(true, hosts); err != nil {
		return err
	}
	changed := make([]protocol.Endpoint, 0, waiting)
	for i := range waiting {
		host := hosts[i*listed/waiting]
		host.Health = protocol.Draining
		changed = append(changed, host)
	}
	cost, err := l.tell(false, changed)
	if err != nil {
		return err
	}
	if cost.unread > 0 {
		return fmt.Errorf("%d of %d changes did not come through", cost.unread, waiting)
	}
	sizes := map[string]float64{sizeWaiting: float64(waiting), sizeListed: float64(listed)}
	play.Report(sizes, figureCatchUpBytes, float64(cost.bytes))
	play.Report(sizes, figureCatchUpSeconds, cost.spent.Seconds())
	return nil
}
