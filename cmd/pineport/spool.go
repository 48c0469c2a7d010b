package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"pineport/spool"
)

func spoolCmd() *cobra.Command {
	var output string
	cmd := &cobra.Command{Use: "spool", Short: "Show the messages that a courier has accepted; the courier may be running"}
	list := &cobra.Command{
		Use:     "ls DIR",
		Short:   "List the messages without a final outcome, and those with an unconfirmed notice",
		Example: "  pineport spool ls /var/lib/pineport --output json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			messages, _, err := spool.Inspect(args[0])
			if err != nil {
				return err
			}
			if output == "json" {
				return printJSON(cmd.OutOrStdout(), messages)
			} else if output != "table" {
				return errors.New("--output: want table or json")
			}
			return showMessages(cmd.OutOrStdout(), messages)
		},
	}
	list.Flags().StringVar(&output, "output", "table", "table or json")
	show := &cobra.Command{
		Use:   "show DIR ID",
		Short: "Print one message with its attempts and body, as JSON",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			messages, _, err := spool.Inspect(args[0])
			if err != nil {
				return err
			}
			for _, message := range messages {
				if message.ID == args[1] {
					return printJSON(cmd.OutOrStdout(), struct {
						*spool.Message
						Body []byte `json:"body"`
					}{message, message.Body})
				}
			}
			return fmt.Errorf("message %s is not in the spool in %s", args[1], args[0])
		},
	}
	verify := &cobra.Command{
		Use:   "verify DIR",
		Short: "Check a spool for damage; exit code 1 if there is any",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			messages, faults, err := spool.Inspect(args[0])
			if err != nil {
				return err
			}
			if len(faults) > 0 {
				return errors.Join(faults...)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "sound: %d messages\n", len(messages))
			return nil
		},
	}
	cmd.AddCommand(list, show, verify)
	return cmd
}

// showMessages prints messages as a table.
func showMessages(out io.Writer, messages []*spool.Message) error {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "ID\tCLASS\tDESTINATION\tDEADLINE\tATTEMPTS\tLAST\tSTATE")
	for _, message := range messages {
		last, state := "-", "held"
		if n := len(message.Attempts); n > 0 {
			last = cmp.Or(message.Attempts[n-1].Outcome, "out")
		}
		if message.FinalOutcome != "" {
			state = message.FinalOutcome + ", notice not confirmed"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d\t%s\t%s\n", message.ID, message.Class, message.Destination, time.UnixMicro(message.Deadline).Format(time.RFC3339), len(message.Attempts),
			last, state)
	}
	return table.Flush()
}
