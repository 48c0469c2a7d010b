package main

import (
	"fmt"
	"sync"

	"github.com/spf13/cobra"

	"pineport/dispatch"
	"pineport/testbed/realtime"
	"pineport/testbed/report"
	"pineport/testbed/scenario"
)

func demoCmd() *cobra.Command {
	var courier, out string
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run two couriers on loopback under load and faults for 20 s, and summarize what they did",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d, err := scenario.Find("demo")
			if err != nil {
				return err
			}
			binary, clean, err := courierBinary(courier)
			if err != nil {
				return err
			}
			defer clean()
			w := scenario.Draw(d, d.Seed)
			printf := func(format string, args ...any) { fmt.Fprintf(cmd.OutOrStdout(), format, args...) }
			printf("%s\n\n", d.About)
			printf("%d couriers, %d destinations, about %.0f messages/s for %.0f s, all on loopback.\n", d.Fleet.Couriers,
				len(w.Destinations), d.Traffic.FullLoadPerSec*w.Load, d.Length)
			for i, dst := range w.Destinations {
				printf("  destination %d: %s, %d endpoints, accepts %.1f calls/s, answers in %.0f ms\n", i, dst.KindName,
					len(dst.Endpoints), dst.Limit.PerSec, float64(dst.ServiceTime)/1000)
			}
			printf("\nScheduled faults:\n")
			report.WriteTimeline(cmd.OutOrStdout(), w, 10)
			printf("\nRunning ...\n")
			var mu sync.Mutex
			v, cost, err := realtime.Play(cmd.Context(), w, realtime.Options{Binary: binary, OnAct: func(at dispatch.Micros, a scenario.Event) {
				mu.Lock()
				defer mu.Unlock()
				printf("  %5.1f s  %s\n", float64(at)/1e6, report.DescribeEvent(w, a))
			}})
			if err != nil {
				return err
			}
			printf("\nReaction of the couriers:\n")
			report.WriteOutages(cmd.OutOrStdout(), w, v)
			printf("\n")
			report.WriteMessageCounts(cmd.OutOrStdout(), v)
			printf("Value of the deliveries: %.0f %% of the value of all messages offered; verdict: %s. The couriers used %.2f s of CPU time.\n", 100*v.Overall, v.Short(),
				cost.CourierCPU)
			if out != "" {
				files, err := report.DrawScenario(out, w, v)
				if err != nil {
					return err
				}
				printf("Charts in %s: %v\n", out, files)
			}
			if !v.OK() || v.InvalidReason != "" {
				return errRunFailed
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&courier, "courier", "", "courier binary (empty: the one in this program's directory, else a new build)")
	cmd.Flags().StringVar(&out, "out", "", "directory for charts")
	return cmd
}
