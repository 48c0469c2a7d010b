// Command pineport runs one courier on sockets, and has tools beside it; docs/ and README.md say how it is notified what it
// needs.
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

// version is set by the linker where a release is built.
var version = "devel"

func main() {
	var err error
	if len(os.Args) == 1 { // the running courier has no use for the command line's machinery, and its memory is tight
		err = run(config.Sources{Getenv: os.Getenv}, os.Stderr)
	} else {
		err = root().Execute()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "pineport:", err)
		os.Exit(1)
	}
}

// flags are the topmost layer of the configuration.
type flags struct {
	config, state string
	set           []string
}

func (f *flags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.config, "config", "", "configuration file (empty: RELAY_CONFIG)")
	cmd.Flags().StringVar(&f.state, "state", "", "folder that lasts (empty: RELAY_STATE)")
	cmd.Flags().StringArrayVar(&f.set, "set", nil, "KEY=VALUE, over the file and the variables; may be given again")
}

func (f *flags) sources() (config.Sources, error) {
	sources := config.Sources{Getenv: os.Getenv, File: f.config, State: f.state, Flags: map[string]string{}}
	for _, pair := range f.set {
		key, value, ok := strings.Cut(pair, "=")
		if _, known := config.Lookup(key); !ok || !known {
			return sources, fmt.Errorf("--set %s: KEY=VALUE with a known key was expected", pair)
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
		Short: "Deliver messages to outside receivers",
		Long: `pineport runs a courier: it accepts messages from clients and delivers them to outside receivers. Without a sub-command it
does the same as run.

Exit codes: 0 all well; 1 a fault, named on standard error.`,
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

// deprecatedAlias returns a command under its older name: it works as before, is not listed, and says what it is called now.
func deprecatedAlias(cmd *cobra.Command, alias string) *cobra.Command {
	name := cmd.Name()
	cmd.Use, cmd.Hidden = alias, true
	cmd.PersistentPreRun = func(called *cobra.Command, _ []string) {
		fmt.Fprintf(called.ErrOrStderr(), "pineport %s is deprecated: use pineport %s\n", alias, name)
	}
	return cmd
}

// printJSON writes what a script reads.
func printJSON(out io.Writer, value any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}
