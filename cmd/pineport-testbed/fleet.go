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
	couriers      int
	seed          int64
	noMembership  bool
	shareQuotas   bool
	probeInterval time.Duration
	courier       string
	dir           string
	trace         string
	output        string
	out           string
	list          bool
}

func fleetCmd() *cobra.Command {
	var f fleetFlags
	cmd := &cobra.Command{
		Use:   "fleet DAY",
		Short: "Run a scenario with real couriers that form a fleet, with faults between them",
		Long: `Run a scenario with real courier processes that are members of one fleet, while the network between them fails and the processes are
killed, paused and restarted. DAY is a scenario name listed by pineport-testbed fleet --list, or a file.`,
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
	cmd.Flags().IntVar(&f.couriers, "couriers", 0, "number of couriers (0: as the scenario defines)")
	cmd.Flags().Int64Var(&f.seed, "seed", 1, "seed of the scenario and of the simulated network")
	cmd.Flags().BoolVar(&f.noMembership, "alone", false, "disable membership, for a comparison")
	cmd.Flags().BoolVar(&f.shareQuotas, "share", false, "let couriers share quotas (ignored with --alone)")
	cmd.Flags().DurationVar(&f.probeInterval, "pace", 200*time.Millisecond, "interval between membership probes")
	cmd.Flags().StringVar(&f.courier, "courier", "", "courier binary (empty: the one in this program's directory, else a new build)")
	cmd.Flags().StringVar(&f.dir, "dir", "", "directory to keep the couriers' state and logs in")
	cmd.Flags().StringVar(&f.trace, "trace", "", "file for the network trace, as JSON lines")
	cmd.Flags().StringVar(&f.out, "out", "", "directory for the result, fleet.json, and charts")
	cmd.Flags().StringVar(&f.output, "output", "table", "output format: table or json")
	cmd.Flags().BoolVar(&f.list, "list", false, "list the scenarios")
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
	o := fleet.Options{Binary: binary, Dir: f.dir, Seed: f.seed, Membership: !f.noMembership, Share: f.shareQuotas && !f.noMembership, ProbeInterval: f.probeInterval}
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
		if _, err := report.DrawScenario(f.out, res.Instance, res.Verdict); err != nil {
			return err
		}
		if len(res.LeaseHistory) > 0 {
			if _, err := report.DrawLeases(f.out, res.LeaseHistory); err != nil {
				return err
			}
		}
	}
	if f.output == "json" {
		fmt.Fprintln(cmd.OutOrStdout(), string(text))
	} else {
		printFleet(cmd.OutOrStdout(), name, res)
	}
	// Beyond the verdict, the run fails if a fault was never triggered or a quota was exceeded, or, with membership, if the couriers did not all
	// know each other at the end or a courier underestimated the fleet size.
	if !res.Verdict.OK() || res.Verdict.InvalidReason != "" || len(res.FaultsWithoutEffect) > 0 || len(res.LeaseBreaches) > 0 || o.Membership && (!res.Converged || res.UnderestimatePolls > 0) {
		return errRunFailed
	}
	return nil
}

func printFleet(out io.Writer, name string, res *fleet.Result) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	v := res.Verdict
	fmt.Fprintf(w, "day\t%s, %d couriers\n", name, res.Couriers)
	fmt.Fprintf(w, "judgement\t%s\n", v.Short())
	fmt.Fprintf(w, "figure\t%.3f; messages offered %d, delivered %d, rejected %d, failed %d, lost %d\n", v.Score, v.Counts.Offered, v.Counts.Delivered, v.Counts.Rejected,
		v.Counts.Failed, v.Counts.Lost)
	printDurations := func(label string, all []float64) {
		if len(all) > 0 {
			slices.Sort(all)
			fmt.Fprintf(w, "%s\tmedian %.1f s, p99 %.1f s, longest %.1f s (%d samples)\n", label, stat.Quantile(0.5, stat.Empirical, all, nil),
				stat.Quantile(0.99, stat.Empirical, all, nil), all[len(all)-1], len(all))
		}
	}
	printDurations("failure detected after", res.FailureDetections)
	printDurations("recovery detected after", res.ReturnDetections)
	for _, k := range slices.Sorted(maps.Keys(res.FalseFailures)) {
		fmt.Fprintf(w, "false failure detections, %s\t%d (%.1f per process-hour)\n", k, res.FalseFailures[k], float64(res.FalseFailures[k])/res.CourierHours)
	}
	fmt.Fprintf(w, "fleet size underestimated\tby a courier in %d samples\n", res.UnderestimatePolls)
	fmt.Fprintf(w, "membership complete at the end\t%v; if so, %.1f s after the last fault\n", res.Converged, res.ConvergenceTime)
	fmt.Fprintf(w, "each courier\tmembership %.1f packets/s, %.0f bytes/s; highest peak memory %.1f MB\n", res.GossipPacketsPerSec, res.GossipBytesPerSec, float64(res.Cost.MaxRSS)/1024)
	fmt.Fprintf(w, "attempts\t%d, throttled %d; %.3f throttled per delivered message\n", v.Counts.Attempts, v.Counts.Throttled, float64(v.Counts.Throttled)/float64(max(1, v.Counts.Delivered)))
	if res.QuotaPacketsPerSec > 0 {
		fmt.Fprintf(w, "quota sharing\t%d leases observed, the largest %.2f of a base quota share; %.1f packets/s, %.0f bytes/s per courier\n", res.LeaseCount, res.LargestLeasedShare, res.QuotaPacketsPerSec, res.QuotaBytesPerSec)
	}
	for _, b := range res.LeaseBreaches {
		fmt.Fprintf(w, "overspent\t%s\n", b)
	}
	for _, k := range slices.Sorted(maps.Keys(res.FaultCounts)) {
		fmt.Fprintf(w, "fault triggered: %s\t%d\n", k, res.FaultCounts[k])
	}
	for _, fault := range res.FaultsWithoutEffect {
		fmt.Fprintf(w, "fault not triggered\t%s\n", fault)
	}
	w.Flush()
	printViolations(out, v)
}
