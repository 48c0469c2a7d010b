package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"

	"pineport/testbed/fleet"
	"pineport/testbed/report"
)

type fleetFlags struct {
	couriers int
	seed     int64
	alone    bool
	share    bool
	pace     time.Duration
	courier  string
	dir      string
	trace    string
	output   string
	out      string
	list     bool
}

func fleetCmd() *cobra.Command {
	var f fleetFlags
	cmd := &cobra.Command{
		Use:   "fleet DAY",
		Short: "Play a day with real couriers that know each other, and faults between them",
		Long: `Play a day with real couriers that know each other, while the network between them fails and they are killed, stopped and
restarted. DAY is one of pineport-testbed fleet --list, or a file.`,
		Example: `  pineport-testbed fleet partition --couriers 12
  pineport-testbed fleet mass-kill --seed 3 --trace links.jsonl --out results/`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if f.list || len(args) == 0 {
				for _, name := range fleet.PlanNames() {
					p, err := fleet.Find(name)
					if err != nil {
						return err
					}
					fmt.Fprintf(cmd.OutOrStdout(), "%-12s %s\n", name, p.About)
				}
				return nil
			}
			return playFleet(cmd, args[0], f)
		},
	}
	cmd.Flags().IntVar(&f.couriers, "couriers", 0, "how many (0: the day's own)")
	cmd.Flags().Int64Var(&f.seed, "seed", 1, "seed of the day and of the network")
	cmd.Flags().BoolVar(&f.alone, "alone", false, "membership off, for a comparison")
	cmd.Flags().BoolVar(&f.share, "share", false, "couriers share limits")
	cmd.Flags().DurationVar(&f.pace, "pace", 200*time.Millisecond, "how often a member is asked whether it is there")
	cmd.Flags().StringVar(&f.courier, "courier", "", "the courier's binary (empty: beside this program, or built anew)")
	cmd.Flags().StringVar(&f.dir, "dir", "", "keep the couriers' folders here, with their logs")
	cmd.Flags().StringVar(&f.trace, "trace", "", "file for the network's trace, in JSON lines")
	cmd.Flags().StringVar(&f.out, "out", "", "folder for the result, fleet.json, and charts")
	cmd.Flags().StringVar(&f.output, "output", "table", "table or json")
	cmd.Flags().BoolVar(&f.list, "list", false, "list the days")
	return cmd
}

func playFleet(cmd *cobra.Command, name string, f fleetFlags) error {
	p, err := fleet.Find(name)
	if err != nil {
		return err
	}
	if f.couriers > 0 {
		p.Couriers = f.couriers
	}
	binary, clean, err := courierBinary(f.courier)
	if err != nil {
		return err
	}
	defer clean()
	o := fleet.Options{Binary: binary, Dir: f.dir, Seed: f.seed, Membership: !f.alone, Share: f.share && !f.alone, ProbeInterval: f.pace}
	if f.trace != "" {
		file, err := os.Create(f.trace)
		if err != nil {
			return err
		}
		defer file.Close()
		o.Trace = file
	}
	res, err := fleet.Play(cmd.Context(), p, o)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(res, "", "  ")
	if err != nil {
		return err
	}
	if f.out != "" {
		if err := os.MkdirAll(f.out, 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(f.out, "fleet.json"), text, 0o644); err != nil {
			return err
		}
		if _, err := report.Day(f.out, res.Instance, res.Verdict); err != nil {
			return err
		}
		if len(res.LeaseHistory) > 0 {
			if _, err := report.Parts(f.out, res.LeaseHistory); err != nil {
				return err
			}
		}
	}
	if f.output == "json" {
		fmt.Fprintln(cmd.OutOrStdout(), string(text))
	} else {
		printFleet(cmd.OutOrStdout(), name, res)
	}
	if !res.Verdict.OK() || res.Verdict.InvalidReason != "" || len(res.FaultsWithoutEffect) > 0 || len(res.LeaseBreaches) > 0 || o.Membership && (!res.Converged || res.UnderestimatePolls > 0) {
		return errBroken
	}
	return nil
}

func printFleet(out io.Writer, name string, res *fleet.Result) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	v := res.Verdict
	fmt.Fprintf(w, "day\t%s, %d couriers\n", name, res.Couriers)
	fmt.Fprintf(w, "judgement\t%s\n", v.Short())
	fmt.Fprintf(w, "figure\t%.3f; offered %d, done %d, bounced %d, terminated %d, lost %d\n", v.Score, v.Counts.Offered, v.Counts.Delivered, v.Counts.Rejected,
		v.Counts.Failed, v.Counts.Lost)
	spans := func(what string, all []float64) {
		if len(all) > 0 {
			slices.Sort(all)
			fmt.Fprintf(w, "%s\tmedian %.1f s, 99 %% %.1f s, longest %.1f s (%d)\n", what, stat.Quantile(0.5, stat.Empirical, all, nil),
				stat.Quantile(0.99, stat.Empirical, all, nil), all[len(all)-1], len(all))
		}
	}
	spans("a death known after", res.FailureDetections)
	spans("a return known after", res.ReturnDetections)
	for _, k := range slices.Sorted(maps.Keys(res.FalseFailures)) {
		fmt.Fprintf(w, "deaths believed that were none, %s\t%d (%.1f a process-hour)\n", k, res.FalseFailures[k], float64(res.FalseFailures[k])/res.CourierHours)
	}
	fmt.Fprintf(w, "counted fewer than there are\t%d looks\n", res.UnderestimatePolls)
	fmt.Fprintf(w, "whole at the end\t%v, %.1f s after the last fault\n", res.Converged, res.ConvergenceTime)
	fmt.Fprintf(w, "each courier\t%.1f packets/s, %.0f bytes/s; largest %.1f MB\n", res.GossipPacketsPerSec, res.GossipBytesPerSec, float64(res.Cost.MaxRSS)/1024)
	fmt.Fprintf(w, "trips\t%d, refused %d; %.3f refused for each done\n", v.Counts.Attempts, v.Counts.Throttled, float64(v.Counts.Throttled)/float64(max(1, v.Counts.Delivered)))
	if res.QuotaPacketsPerSec > 0 {
		fmt.Fprintf(w, "shared\t%d loans seen, at most %.2f of a part; %.1f packets/s, %.0f bytes/s each\n", res.LeaseCount, res.LargestLeasedShare, res.QuotaPacketsPerSec, res.QuotaBytesPerSec)
	}
	for _, b := range res.LeaseBreaches {
		fmt.Fprintf(w, "overspent\t%s\n", b)
	}
	for _, k := range slices.Sorted(maps.Keys(res.FaultCounts)) {
		fmt.Fprintf(w, "struck: %s\t%d\n", k, res.FaultCounts[k])
	}
	for _, idle := range res.FaultsWithoutEffect {
		fmt.Fprintf(w, "does not count\t%s\n", idle)
	}
	w.Flush()
	printBreaches(out, v)
}
