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
		Short: "A small world on loopback, two couriers, load and trouble, and a plain account of what was decided; 20 s",
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
			say := func(format string, args ...any) { fmt.Fprintf(cmd.OutOrStdout(), format, args...) }
			say("%s\n\n", d.About)
			say("%d couriers, %d destinations, about %.0f records a second for %.0f s, all on loopback.\n", d.Fleet.Couriers,
				len(w.Destinations), d.Traffic.FullLoadPerSec*w.Load, d.Length)
			for i, dst := range w.Destinations {
				say("  destination %d: %s, %d endpoints, takes %.1f calls a second, answers in %.0f ms\n", i, dst.KindName,
					len(dst.Endpoints), dst.Limit.PerSec, float64(dst.ServiceTime)/1000)
			}
			say("\nWhat will go wrong:\n")
			report.Timeline(cmd.OutOrStdout(), w, 10)
			say("\nPlaying ...\n")
			var mu sync.Mutex
			v, cost, err := realtime.Play(cmd.Context(), w, realtime.Options{Binary: binary, Watch: func(at dispatch.Micros, a scenario.Event) {
				mu.Lock()
				defer mu.Unlock()
				say("  %5.1f s  %s\n", float64(at)/1e6, report.Event(w, a))
			}})
			if err != nil {
				return err
			}
			say("\nWhat the couriers did about it:\n")
			report.Account(cmd.OutOrStdout(), w, v)
			say("\n")
			report.Answers(cmd.OutOrStdout(), v)
			say("Payoff: %.0f %% of what was asked; judgement: %s. The couriers took %.2f s of processor time.\n", 100*v.Overall, v.Short(),
				cost.CourierCPU)
			if out != "" {
				files, err := report.Day(out, w, v)
				if err != nil {
					return err
				}
				say("Charts in %s: %v\n", out, files)
			}
			if !v.OK() || v.InvalidReason != "" {
				return errBroken
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&courier, "courier", "", "the courier's binary (empty: beside this program, or built anew)")
	cmd.Flags().StringVar(&out, "out", "", "folder for charts")
	return cmd
}
