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
	var left time.Duration
	cmd := &cobra.Command{
		Use:     "send",
		Short:   "Hand some records to a courier and print its replies",
		Example: "  pineport-testbed send --to 127.0.0.1:7379 --workload update --dest 0 --count 5",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			pool := load.NewPool(to)
			defer pool.Close()
			base := strconv.FormatInt(time.Now().UnixNano(), 36)
			for i := range count {
				id := fmt.Sprintf("%s-%d", base, i)
				r := pool.Do(load.Enqueue(load.Message{ID: id, Class: class, Left: left, Dest: dest, Body: []byte("sent by hand")}))
				if r.Kind == load.Down {
					return fmt.Errorf("no courier at %s: %s", to, r.Text)
				}
				text := r.Text
				if r.Kind == load.Silent {
					text = "no answer within " + load.Patience.String()
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s  %s\n", id, text)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&to, "to", "127.0.0.1:7379", "the courier's address")
	cmd.Flags().StringVar(&class, "workload", "update", "workload of the records")
	cmd.Flags().IntVar(&dest, "dest", 0, "their destination")
	cmd.Flags().IntVar(&count, "count", 5, "how many")
	cmd.Flags().DurationVar(&left, "left", 8*time.Second, "how long they may still be delivered")
	return cmd
}
