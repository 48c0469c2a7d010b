package main

import (
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"pineport/testbed/load"
)

func sendCmd() *cobra.Command {
	var to, class string
	var count, dest int
	var timeToLive time.Duration
	cmd := &cobra.Command{
		Use:     "send",
		Short:   "Submit messages to a courier and print its replies",
		Example: "  pineport-testbed send --to 127.0.0.1:7379 --workload update --dest 0 --count 5",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			pool := load.NewPool(to)
			defer pool.Close()
			base := strconv.FormatInt(time.Now().UnixNano(), 36)
			for i := range count {
				id := fmt.Sprintf("%s-%d", base, i)
				reply := pool.Do(load.EncodeEnqueue(load.Message{ID: id, Class: class, TimeToLive: timeToLive, Dest: dest, Body: []byte("sent by hand")}))
				if reply.Kind == load.Unreachable {
					return fmt.Errorf("courier at %s is unreachable: %s", to, reply.Text)
				}
				text := reply.Text
				if reply.Kind == load.TimedOut {
					text = "no reply within " + load.ReplyTimeout.String()
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s  %s\n", id, text)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&to, "to", "127.0.0.1:7379", "address of the courier")
	cmd.Flags().StringVar(&class, "workload", "update", "class of the messages")
	cmd.Flags().IntVar(&dest, "dest", 0, "destination of the messages")
	cmd.Flags().IntVar(&count, "count", 5, "number of messages")
	cmd.Flags().DurationVar(&timeToLive, "left", 8*time.Second, "time to live of the messages")
	return cmd
}
