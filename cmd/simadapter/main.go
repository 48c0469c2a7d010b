// Command simadapter runs the dispatchers of many couriers for the simulator. It reads the simulator's protocol from standard
// input and writes replies to standard output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"pineport/dispatch"
	"pineport/simprotocol"
)

func main() {
	if err := run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run writes one reply to each batch until the end of input.
func run(in io.Reader, out, log io.Writer) error {
	reader := simprotocol.NewReader(in, func(line int, fault error) {
		fmt.Fprintf(log, "simadapter: line %d: %v\n", line, fault)
	})
	writer := simprotocol.NewWriter(out)
	dispatchers := map[int]*dispatch.Dispatcher{}
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		var ids []int
		events := map[int][]dispatch.Event{}
		listed := map[int]bool{}
		for _, item := range batch.Events {
			if !listed[item.Courier] {
				listed[item.Courier] = true
				ids = append(ids, item.Courier)
			}
			switch event := item.Event.(type) {
			case simprotocol.Started:
				dispatchers[item.Courier] = dispatch.New(event.Config)
				events[item.Courier] = nil // earlier events of the batch were for the previous run
			case simprotocol.Killed:
				delete(dispatchers, item.Courier)
				events[item.Courier] = nil
			case dispatch.Event:
				events[item.Courier] = append(events[item.Courier], event)
			}
		}
		for _, id := range ids {
			dispatcher := dispatchers[id]
			if dispatcher == nil {
				if len(events[id]) > 0 {
					fmt.Fprintf(log, "simadapter: courier %d is not running; %d events ignored\n", id, len(events[id]))
				}
				continue
			}
			actions, fault := handle(dispatcher, batch.Now, events[id])
			if fault != "" {
				writer.Panicked(id, fault)
				continue
			}
			writer.Actions(id, actions)
		}
		if err := writer.End(); err != nil {
			return err
		}
	}
}

// handle passes events to a dispatcher. It returns a panic of the dispatcher as text, for the internal_error line of the reply.
// The dispatcher stays in use after a panic.
func handle(dispatcher *dispatch.Dispatcher, now dispatch.Micros, events []dispatch.Event) (actions []dispatch.Action, fault string) {
	defer func() {
		if r := recover(); r != nil {
			fault = fmt.Sprint(r)
		}
	}()
	return dispatcher.Handle(now, events), ""
}
