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
	skip     []int64
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
		Short: "Run real couriers under random faults of all kinds, and check the invariants",
		Long: `Run real couriers on loopback under faults of all kinds. System calls fail, the state directory fails, discovery refuses connections, does
not answer or sends corrupt lists, endpoints fail and drain, clients disconnect or overload the courier, and the courier receives signals in
quick succession. The seed determines all faults. The report counts which faults were triggered: a fault that was not triggered was not tested.
For a seed that violates an invariant, the report prints the command that repeats the run, and the run's log and timeline stay in the directory
of --dir. Exit codes: 0 success; 1 an invariant is violated; 2 any other error.`,
		Example: "  pineport-testbed soak --seeds 8\n  pineport-testbed soak --seeds 1 --from 17",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return playSoak(cmd, f) },
	}
	cmd.Flags().IntVar(&f.seeds, "seeds", 8, "number of seeds")
	cmd.Flags().Int64Var(&f.from, "from", 1, "the first seed")
	cmd.Flags().Int64SliceVar(&f.skip, "skip", nil, "seeds that are not run, separated by commas")
	cmd.Flags().Float64Var(&f.seconds, "seconds", 12, "length of each run, in seconds; the run then waits until the open messages have ended or expired")
	cmd.Flags().IntVar(&f.parallel, "parallel", 4, "number of concurrent runs")
	cmd.Flags().StringVar(&f.courier, "courier", "", "courier binary (empty: the one in this program's directory, else a new build)")
	cmd.Flags().StringVar(&f.dir, "dir", "", "directory for the logs of runs that violate an invariant (empty: found/soak)")
	cmd.Flags().StringVar(&f.output, "output", "table", "output format: table or json")
	return cmd
}

func playSoak(cmd *cobra.Command, f soakFlags) error {
	if f.output != "table" && f.output != "json" {
		return fmt.Errorf("--output: expected table or json, got %q", f.output)
	}
	if f.seeds < 1 || f.parallel < 1 || f.seconds < 1 {
		return fmt.Errorf("--seeds, --parallel and --seconds: expected at least 1")
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
		err = errRunFailed
	}
	return err
}

// selectedSeeds returns the seeds to run.
func (f soakFlags) selectedSeeds() (seeds []int64) {
	for i := range f.seeds {
		if seed := f.from + int64(i); !slices.Contains(f.skip, seed) {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// playSeeds runs all seeds, at most --parallel of them concurrently, and writes a progress line after each.
func playSeeds(ctx context.Context, f soakFlags, binary string, progress io.Writer) ([]*soak.Result, error) {
	seeds := f.selectedSeeds()
	results, errs := make([]*soak.Result, len(seeds)), make([]error, len(seeds))
	slots := make(chan struct{}, f.parallel)
	var workers sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for i, seed := range seeds {
		slots <- struct{}{}
		workers.Go(func() {
			defer func() { <-slots }()
			results[i], errs[i] = soak.Play(ctx, soak.Options{Binary: binary, Seed: seed, Dir: f.dir, Length: time.Duration(f.seconds * float64(time.Second))})
			mu.Lock()
			defer mu.Unlock()
			done++
			fmt.Fprintf(progress, "seed %d finished, %d of %d\n", seed, done, len(seeds))
		})
	}
	workers.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

// maxPrintedBreaches limits the violations that are printed for one seed.
const maxPrintedBreaches = 6

func printSoak(out io.Writer, results []*soak.Result, f soakFlags) error {
	triggered, notTriggered, violating, accepted := map[string]int{}, map[string]int{}, 0, 0
	selfExits, killed, overdue := 0, 0, 0
	for _, r := range results {
		accepted += r.Accepted
		selfExits, killed, overdue = selfExits+r.SelfExits, killed+r.Killed, overdue+r.Overdue
		for fault, n := range r.FaultCounts {
			triggered[fault] += n
		}
		for _, fault := range r.FaultsWithoutEffect {
			notTriggered[fault]++
		}
		if len(r.Breaches) == 0 {
			continue
		}
		violating++
		fmt.Fprintf(out, "seed %d: log and timeline in %s\n  repeat with: pineport-testbed soak --seeds 1 --from %d --seconds %g\n", r.Seed, r.Dir, r.Seed, f.seconds)
		for _, breach := range r.Breaches[:min(len(r.Breaches), maxPrintedBreaches)] {
			fmt.Fprintf(out, "  %s\n", breach)
		}
		if more := len(r.Breaches) - maxPrintedBreaches; more > 0 {
			fmt.Fprintf(out, "  and %d more, see the timeline\n", more)
		}
	}
	for _, fault := range sortedKeys(triggered) {
		fmt.Fprintf(out, "%-28s triggered %d times\n", fault, triggered[fault])
	}
	for _, fault := range sortedKeys(notTriggered) {
		fmt.Fprintf(out, "%-28s scheduled but not triggered in %d runs\n", fault, notTriggered[fault])
	}
	fmt.Fprintf(out, "processes: %d ended by themselves, %d killed as planned, %d killed because they had not ended in time\n", selfExits, killed, overdue)
	_, err := fmt.Fprintf(out, "%d seeds, %d messages accepted, %d seeds with violated invariants\n", len(results), accepted, violating)
	return err
}

func sortedKeys(counts map[string]int) []string { return slices.Sorted(maps.Keys(counts)) }
