package simulation

import (
	"fmt"
	"runtime/debug"

	"pineport/dispatch"
)

// Batch is what happened to one courier since its last step.
type Batch struct {
	Courier int
	Events  []dispatch.Event
}

// Host runs the decisions of all couriers.
type Host interface {
	// Start begins a courier that knows nothing.
	Start(courier int, ch dispatch.Config, settings map[string]string) error
	// Kill ends one.
	Kill(courier int)
	// Step hands over what happened, and returns what each courier wants done, in the order of the batches.
	Step(now dispatch.Micros, batches []Batch) ([][]dispatch.Action, error)
	Close() error
}

// Decider is the decisions of one courier, as dispatch.Dispatcher.
type Decider interface {
	Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action
}

// CourierPanic is a courier whose decisions failed.
type CourierPanic struct {
	Courier int
	Text    string
}

func (f *CourierPanic) Error() string { return fmt.Sprintf("courier %d: %s", f.Courier, f.Text) }

// LocalHost runs the decisions in this process.
type LocalHost struct {
	make     func(courier int, ch dispatch.Config) Decider
	couriers map[int]Decider
}

// NewLocalHost hosts what make returns; nil stands for the module as it is.
func NewLocalHost(make func(courier int, ch dispatch.Config) Decider) *LocalHost {
	if make == nil {
		make = func(_ int, ch dispatch.Config) Decider { return dispatch.New(ch) }
	}
	return &LocalHost{make, map[int]Decider{}}
}

// Start implements Host.
func (l *LocalHost) Start(courier int, ch dispatch.Config, _ map[string]string) error {
	l.couriers[courier] = l.make(courier, ch)
	return nil
}

// Kill implements Host.
func (l *LocalHost) Kill(courier int) { delete(l.couriers, courier) }

// Close implements Host.
func (l *LocalHost) Close() error { return nil }

// Step implements Host.
func (l *LocalHost) Step(now dispatch.Micros, batches []Batch) (all [][]dispatch.Action, err error) {
	at := 0
	defer func() {
		if fault := recover(); fault != nil {
			err = &CourierPanic{at, fmt.Sprintf("%v\n%s", fault, debug.Stack())}
		}
	}()
	for _, b := range batches {
		at = b.Courier
		all = append(all, l.couriers[b.Courier].Handle(now, b.Events))
	}
	return all, nil
}

// Dispatcher gives a running courier's decisions, for whoever wants to look into them.
func (l *LocalHost) Dispatcher(n int) Decider { return l.couriers[n] }
