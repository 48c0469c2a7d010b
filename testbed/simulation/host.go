package simulation

import (
	"fmt"
	"runtime/debug"

	"pineport/dispatch"
)

// Batch holds the events of one courier since its last step.
type Batch struct {
	Courier int
	Events  []dispatch.Event
}

// Host runs the dispatchers of all couriers.
type Host interface {
	// Start creates the dispatcher of a courier, without learned state. The settings are those that cfg was
	// made from, for hosts in another process.
	Start(courier int, cfg dispatch.Config, settings map[string]string) error
	// Kill discards the dispatcher of a courier.
	Kill(courier int)
	// Step hands each batch to its courier's dispatcher, and returns the actions of each in the order of the
	// batches.
	Step(now dispatch.Micros, batches []Batch) ([][]dispatch.Action, error)
	Close() error
}

// Decider is the decision logic of one courier, such as dispatch.Dispatcher.
type Decider interface {
	Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action
}

// CourierPanic reports a panic in a courier's dispatcher.
type CourierPanic struct {
	Courier int
	Text    string
}

func (f *CourierPanic) Error() string { return fmt.Sprintf("courier %d: %s", f.Courier, f.Text) }

// LocalHost is a Host that runs the dispatchers in this process.
type LocalHost struct {
	newDecider func(courier int, cfg dispatch.Config) Decider
	deciders   map[int]Decider
}

// NewLocalHost returns a host that creates dispatchers with newDecider; nil stands for dispatch.New.
func NewLocalHost(newDecider func(courier int, cfg dispatch.Config) Decider) *LocalHost {
	if newDecider == nil {
		newDecider = func(_ int, cfg dispatch.Config) Decider { return dispatch.New(cfg) }
	}
	return &LocalHost{newDecider, map[int]Decider{}}
}

// Start implements Host.
func (l *LocalHost) Start(courier int, cfg dispatch.Config, _ map[string]string) error {
	l.deciders[courier] = l.newDecider(courier, cfg)
	return nil
}

// Kill implements Host.
func (l *LocalHost) Kill(courier int) { delete(l.deciders, courier) }

// Close implements Host.
func (l *LocalHost) Close() error { return nil }

// Step implements Host.
func (l *LocalHost) Step(now dispatch.Micros, batches []Batch) (all [][]dispatch.Action, err error) {
	current := 0
	defer func() {
		if recovered := recover(); recovered != nil {
			err = &CourierPanic{current, fmt.Sprintf("%v\n%s", recovered, debug.Stack())}
		}
	}()
	for _, b := range batches {
		current = b.Courier
		all = append(all, l.deciders[b.Courier].Handle(now, b.Events))
	}
	return all, nil
}

// Dispatcher returns a running courier's dispatcher, for inspection.
func (l *LocalHost) Dispatcher(n int) Decider { return l.deciders[n] }
