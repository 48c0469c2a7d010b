// Command pineport runs one courier process and provides tools to check its configuration and to inspect its spool, learned state,
// fleet and quota shares. README.md and docs/ describe how to configure it.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"pineport/config"
)

// version is set by the linker in release builds.
var version = "devel"

func main() {
	var err error
	if len(os.Args) == 1 { // without arguments, skip cobra to save memory in the running courier
		err = run(config.Sources{Getenv: os.Getenv}, os.Stderr)
	} else {
		err = root().Execute()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "pineport:", err)
		os.Exit(1)
	}
}

// flags holds the configuration given on the command line. It takes precedence over environment variables and the file.
type flags struct {
	config, state string
	set           []string
}

func (f *flags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.config, "config", "", "configuration file (empty: RELAY_CONFIG)")
	cmd.Flags().StringVar(&f.state, "state", "", "state directory, kept across restarts (empty: RELAY_STATE)")
	cmd.Flags().StringArrayVar(&f.set, "set", nil, "KEY=VALUE, overrides the file and the environment; may be repeated")
}

func (f *flags) sources() (config.Sources, error) {
	sources := config.Sources{Getenv: os.Getenv, File: f.config, State: f.state, Flags: map[string]string{}}
	for _, pair := range f.set {
		key, value, ok := strings.Cut(pair, "=")
		if _, known := config.Lookup(key); !ok || !known {
			return sources, fmt.Errorf("--set %s: want KEY=VALUE with a known key", pair)
		}
		sources.Flags[key] = value
	}
	return sources, nil
}

func root() *cobra.Command {
	var f flags
	start := func(*cobra.Command, []string) error {
		sources, err := f.sources()
		if err != nil {
			return err
		}
		return run(sources, os.Stderr)
	}
	cmd := &cobra.Command{
		Use:   "pineport",
		Short: "Deliver messages to external endpoints",
		Long: `pineport runs a courier: it accepts messages from clients and delivers them to external endpoints. Without a subcommand it
does the same as run.

Exit codes: 0 success; 1 failure, with the error on standard error.`,
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          start,
	}
	f.add(cmd)
	runCmd := &cobra.Command{
		Use:     "run",
		Short:   "Run the courier in the foreground",
		Example: "  pineport run --config courier.toml --state /var/lib/pineport\n  RELAY_CONFIG=courier.json RELAY_STATE=/var/lib/pineport pineport",
		Args:    cobra.NoArgs,
		RunE:    start,
	}
	f.add(runCmd)
	cmd.AddCommand(runCmd, configCmd(), spoolCmd(), stateCmd(), membersCmd(), quotaCmd(),
		deprecatedAlias(membersCmd(), "peers"), deprecatedAlias(quotaCmd(), "commons"), &cobra.Command{
			Use:   "version",
			Short: "Print the version",
			Args:  cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				_, err := fmt.Fprintln(cmd.OutOrStdout(), "pineport", version)
				return err
			},
		})
	return cmd
}

// deprecatedAlias returns cmd under its old name alias. The alias is hidden from the help and prints a warning that names the new command.
func deprecatedAlias(cmd *cobra.Command, alias string) *cobra.Command {
	name := cmd.Name()
	cmd.Use, cmd.Hidden = alias, true
	cmd.PersistentPreRun = func(called *cobra.Command, _ []string) {
		fmt.Fprintf(called.ErrOrStderr(), "pineport %s is deprecated: use pineport %s\n", alias, name)
	}
	return cmd
}

// printJSON writes value as indented JSON, for scripts.
func printJSON(out io.Writer, value any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}
