package main

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"

	"github.com/spf13/cobra"

	"pineport/testbed/environment"
	"pineport/testbed/invariants"
	"pineport/testbed/report"
	"pineport/testbed/scenario"
)

func serveCmd() *cobra.Command {
	var seed int64
	var dir, listen string
	cmd := &cobra.Command{
		Use:   "serve DAY",
		Short: "Put up a day's world alone, for couriers that you start yourself",
		Long: `serve puts up the endpoints and directories of a day on loopback and writes a configuration for each of its couriers.
Its troubles begin at once. Records are yours to hand in: "pineport-testbed send" does it.`,
		Example: "  pineport-testbed serve demo --dir example/run\n  RELAY_CONFIG=example/run/courier-0.json RELAY_STATE=example/run/state bin/pineport",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			d, err := scenario.Find(args[0])
			if err != nil {
				return err
			}
			if seed == 0 {
				seed = d.Seed
			}
			w := scenario.Draw(d, seed)
			o, err := environment.Open(w, slog.New(slog.NewTextHandler(os.Stderr, nil)))
			if err != nil {
				return err
			}
			defer o.Close()
			o.AllowUnknownMessages = true
			if err := os.MkdirAll(filepath.Join(dir, "state"), 0o755); err != nil {
				return err
			}
			for i := range d.Fleet.Couriers {
				text, err := json.MarshalIndent(map[string]any{"name": fmt.Sprintf("n%d", i), "listen": fmt.Sprintf("%s:%d", listen, 7379+i),
					"discovery": o.DirectoryAddress(i), "seed": strconv.FormatInt(seed+int64(i), 16), "known": o.InitialList(i), "settings": w.Settings(i),
					"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}}, "", "  ")
				if err != nil {
					return err
				}
				path := filepath.Join(dir, fmt.Sprintf("courier-%d.json", i))
				if err := os.WriteFile(path, text, 0o600); err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "courier %d: RELAY_CONFIG=%s\n", i, path)
			}
			report.Timeline(cmd.OutOrStdout(), w, 20)
			books := invariants.New(invariants.SetupFor(w))
			o.Start(books, func(scenario.Event) {})
			<-cmd.Context().Done()
			return nil
		},
	}
	cmd.Flags().Int64Var(&seed, "seed", 0, "seed of the day (0: the file's)")
	cmd.Flags().StringVar(&dir, "dir", "example/run", "folder for the couriers' configurations")
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1", "address that the couriers are to listen on")
	return cmd
}
