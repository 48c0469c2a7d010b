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
	var adminAddr, output string
	show := &cobra.Command{Use: "show", Short: "Show the shares of rate limits that one courier has granted and leased, and the use of the limits as reported by all couriers", Args: cobra.NoArgs,
		Example: "  pineport quota show --ops 127.0.0.1:8081\n  pineport quota show --config courier.toml --output json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := requestAdmin(&f, adminAddr, http.MethodGet, "/commons")
			if err != nil {
				return err
			}
			var status exchange.Status
			if err := json.Unmarshal(text, &status); err != nil {
				return err
			}
			switch output {
			case "json":
				return printJSON(cmd.OutOrStdout(), status)
			case "table":
				return showQuota(cmd.OutOrStdout(), status)
			}
			return fmt.Errorf("--output: want table or json, not %q", output)
		}}
	f.add(show)
	show.Flags().StringVar(&adminAddr, "ops", "", "the courier's admin address (empty: from its configuration)")
	show.Flags().StringVar(&output, "output", "table", "table or json")
	cmd := &cobra.Command{Use: "quota", Short: "Show the rate limits that couriers share, as one courier knows them",
		Long: "Show the rate limits that couriers share, as one courier knows them. The courier is reached at its admin address: --ops, or ops in its configuration. Late or unknown are leases that arrived too late or were not requested."}
	cmd.AddCommand(show)
	return cmd
}

func showQuota(out io.Writer, status exchange.Status) error {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(table, "%d requests, %d granted, %d leased, %d late or unknown; %d packets out (%d bytes), %d in, %d malformed, %d dropped\n\n", status.Counters.Requested, status.Counters.Granted,
		status.Counters.Leased, status.Counters.Rejected, status.PacketsOut, status.BytesOut, status.PacketsIn, status.PacketsMalformed, status.PacketsDropped)
	fmt.Fprintln(table, "DESTINATION\tENDPOINT\tLIMIT/s\tSHARE %\tGRANTED %\tLEASED %\tOWN USE %\tALL USE %\tCOURIERS\tCALLS\tDELIVERED\tTHROTTLED")
	percent := func(ppm int64) string { return fmt.Sprintf("%.1f", float64(ppm)/1e4) }
	for _, group := range status.Groups {
		fmt.Fprintf(table, "%d\t%s\t%.1f\t%s\t%s\t%s\t%s\t%.0f\t%d\t%d\t%d\t%d\n", group.Dest, cmp.Or(group.Endpoint, "-"), group.Limit, percent(int64(group.Base)),
			percent(int64(group.Granted)), percent(int64(group.Leased)), percent(int64(group.Usage)), 100*group.Load, group.ReportingCouriers, group.Calls, group.Delivered, group.Throttled)
	}
	return table.Flush()
}
