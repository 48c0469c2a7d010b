package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"pineport/testbed/soak"
)

type soakFlags struct {
	seeds    int
	from     int64
	seconds  float64
	parallel int
	courier  string
	dir      string
	output   string
}

func soakCmd() *cobra.Command {
	f := soakFlags{}
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Play real couriers among faults of all kinds, drawn by seeds, and judge them",
		Long: `Play real couriers on loopback among faults of all kinds: failing system calls, a failing state folder, discovery that refuses, falls silent
or is spoilt, endpoints that fail, clients that come, go and crowd, drains, and signals in series. A seed draws them all. Each fault is counted
as struck or not: one that never struck was not tested. A seed that breaks a rule prints the command that plays it again, and leaves its log and
timeline in the folder of --dir. Exit codes: 0 all well; 1 a rule broke.`,
		Example: "  pineport-testbed soak --seeds 8\n  pineport-testbed soak --seeds 1 --from 17",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return playSoak(cmd, f) },
	}
	cmd.Flags().IntVar(&f.seeds, "seeds", 8, "how many seeds")
	cmd.Flags().Int64Var(&f.from, "from", 1, "the first seed")
	cmd.Flags().Float64Var(&f.seconds, "seconds", 12, "length of each play; its messages then still have their time")
	cmd.Flags().IntVar(&f.parallel, "parallel", 4, "plays at once")
	cmd.Flags().StringVar(&f.courier, "courier", "", "the courier's binary (empty: beside this program, or built anew)")
	cmd.Flags().StringVar(&f.dir, "dir", "", "folder for plays that break a rule (empty: found/soak)")
	cmd.Flags().StringVar(&f.output, "output", "table", "table or json")
	return cmd
}

func playSoak(cmd *cobra.Command, f soakFlags) error {
	if f.output != "table" && f.output != "json" {
		return fmt.Errorf("--output: table or json was expected, not %q", f.output)
	}
	if f.seeds < 1 || f.parallel < 1 || f.seconds < 1 {
		return fmt.Errorf("--seeds, --parallel and --seconds: at least 1 was expected")
	}
	binary, clean, err := courierBinary(f.courier)
	if err != nil {
		return err
	}
	defer clean()
	if f.dir == "" {
		f.dir = "found/soak"
	}
	if err := os.MkdirAll(f.dir, 0o755); err != nil {
		return err
	}
	results, err := playSeeds(cmd.Context(), f, binary, cmd.ErrOrStderr())
	if err != nil {
		return err
	}
	if f.output == "json" {
		encoder := json.NewEncoder(cmd.OutOrStdout())
		encoder.SetIndent("", "  ")
		err = encoder.Encode(results)
	} else {
		err = printSoak(cmd.OutOrStdout(), results, f)
	}
	if err == nil && slices.ContainsFunc(results, func(r *soak.Result) bool { return len(r.Breaches) > 0 }) {
		err = errBroken
	}
	return err
}

// playSeeds plays all seeds, some at once, and shows how far it is.
func playSeeds(ctx context.Context, f soakFlags, binary string, progress io.Writer) ([]*soak.Result, error) {
	results, faults := make([]*soak.Result, f.seeds), make([]error, f.seeds)
	running := make(chan struct{}, f.parallel)
	var all sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for i := range f.seeds {
		running <- struct{}{}
		all.Go(func() {
			defer func() { <-running }()
			results[i], faults[i] = soak.Play(ctx, soak.Options{Binary: binary, Seed: f.from + int64(i), Dir: f.dir, Length: time.Duration(f.seconds * float64(time.Second))})
			mu.Lock()
			defer mu.Unlock()
			done++
			fmt.Fprintf(progress, "seed %d is over, %d of %d\n", f.from+int64(i), done, f.seeds)
		})
	}
	all.Wait()
	for _, err := range faults {
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

func printSoak(out io.Writer, results []*soak.Result, f soakFlags) error {
	struck, notStruck, broken, accepted := map[string]int{}, map[string]int{}, 0, 0
	for _, r := range results {
		accepted += r.Accepted
		for what, n := range r.FaultCounts {
			struck[what] += n
		}
		for _, what := range r.FaultsWithoutEffect {
			notStruck[what]++
		}
		if len(r.Breaches) == 0 {
			continue
		}
		broken++
		fmt.Fprintf(out, "seed %d: %s\n  again: pineport-testbed soak --seeds 1 --from %d --seconds %g\n", r.Seed, r.Dir, r.Seed, f.seconds)
		for _, breach := range r.Breaches {
			fmt.Fprintf(out, "  %s\n", breach)
		}
	}
	for _, what := range sortedKeys(struck) {
		fmt.Fprintf(out, "%-28s struck %d times\n", what, struck[what])
	}
	for _, what := range sortedKeys(notStruck) {
		fmt.Fprintf(out, "%-28s drawn and never struck in %d plays\n", what, notStruck[what])
	}
	_, err := fmt.Fprintf(out, "%d seeds, %d messages accepted, %d seeds broke a rule\n", len(results), accepted, broken)
	return err
}

func sortedKeys(counts map[string]int) []string { return slices.Sorted(maps.Keys(counts)) }
