package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"pineport/quota/exchange"
)

func quotaCmd() *cobra.Command {
	var f flags
	var at, output string
	show := &cobra.Command{Use: "show", Short: "Show the shares of limits that one courier has granted and leased, and what is known to be in use", Args: cobra.NoArgs,
		Example: "  pineport quota show --ops 127.0.0.1:8081\n  pineport quota show --config courier.toml --output json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := requestAdmin(&f, at, http.MethodGet, "/commons")
			if err != nil {
				return err
			}
			var s exchange.Status
			if err := json.Unmarshal(text, &s); err != nil {
				return err
			}
			switch output {
			case "json":
				return printJSON(cmd.OutOrStdout(), s)
			case "table":
				return showQuota(cmd.OutOrStdout(), s)
			}
			return fmt.Errorf("--output: table or json was expected, not %q", output)
		}}
	f.add(show)
	show.Flags().StringVar(&at, "ops", "", "the courier's operators' address (empty: from its configuration)")
	show.Flags().StringVar(&output, "output", "table", "table or json")
	cmd := &cobra.Command{Use: "quota", Short: "Show the limits that couriers share, as one courier knows them",
		Long: "Show the limits that couriers share, as one courier knows them, from its admin address: --ops, or ops of its configuration."}
	cmd.AddCommand(show)
	return cmd
}

func showQuota(out io.Writer, s exchange.Status) error {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(table, "%d requests, %d granted, %d leased, %d late or unknown; %d packets out (%d bytes), %d in, %d malformed, %d dropped\n\n", s.Counters.Requested, s.Counters.Granted,
		s.Counters.Leased, s.Counters.Late, s.PacketsOut, s.BytesOut, s.PacketsIn, s.PacketsMalformed, s.PacketsDropped)
	fmt.Fprintln(table, "DESTINATION\tENDPOINT\tLIMIT/s\tSHARE %\tGRANTED %\tLEASED %\tOWN USE %\tALL USE %\tCOURIERS\tCALLS\tDELIVERED\tTHROTTLED")
	percent := func(ppm int64) string { return fmt.Sprintf("%.1f", float64(ppm)/1e4) }
	for _, l := range s.Groups {
		fmt.Fprintf(table, "%d\t%s\t%.1f\t%s\t%s\t%s\t%s\t%.0f\t%d\t%d\t%d\t%d\n", l.Dest, cmp.Or(l.Endpoint, "-"), l.Limit, percent(int64(l.Base)),
			percent(int64(l.Granted)), percent(int64(l.Leased)), percent(int64(l.Usage)), 100*l.Load, l.CouriersHeard, l.Calls, l.Delivered, l.Throttled)
	}
	return table.Flush()
}
