// Command simadapter runs many couriers on the simulator's wire, standard input to standard output.
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

// run answers each batch with one reply until input ends.
func run(in io.Reader, out, log io.Writer) error {
	reader := simprotocol.NewReader(in, func(line int, fault error) {
		fmt.Fprintf(log, "simadapter: line %d: %v\n", line, fault)
	})
	writer := simprotocol.NewWriter(out)
	couriers := map[int]*dispatch.Dispatcher{}
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		var order []int
		events := map[int][]dispatch.Event{}
		seen := map[int]bool{}
		for _, item := range batch.Items {
			if !seen[item.Courier] {
				seen[item.Courier] = true
				order = append(order, item.Courier)
			}
			switch what := item.What.(type) {
			case simprotocol.Started:
				couriers[item.Courier] = dispatch.New(what.Config)
				events[item.Courier] = nil
			case simprotocol.Killed:
				delete(couriers, item.Courier)
				events[item.Courier] = nil
			case dispatch.Event:
				events[item.Courier] = append(events[item.Courier], what)
			}
		}
		for _, id := range order {
			courier := couriers[id]
			if courier == nil {
				if len(events[id]) > 0 {
					fmt.Fprintf(log, "simadapter: courier %d has not begun; %d events left out\n", id, len(events[id]))
				}
				continue
			}
			actions, fault := decide(courier, batch.Now, events[id])
			if fault != "" {
				writer.Fault(id, fault)
				continue
			}
			writer.Actions(id, actions)
		}
		if err := writer.End(); err != nil {
			return err
		}
	}
}

// decide steps a panic in the decisions into a report that the wire can carry.
func decide(c *dispatch.Dispatcher, now dispatch.Micros, events []dispatch.Event) (actions []dispatch.Action, fault string) {
	defer func() {
		if r := recover(); r != nil {
			fault = fmt.Sprint(r)
		}
	}()
	return c.Handle(now, events), ""
}
