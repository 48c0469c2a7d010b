package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"pineport/config"
)

func configCmd() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Check, show and explain the configuration"}
	cmd.AddCommand(configCheckCmd(), configShowCmd(), configExplainCmd(), &cobra.Command{
		Use:   "init",
		Short: "Write a commented example configuration in TOML",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := io.WriteString(cmd.OutOrStdout(), config.Example())
			return err
		},
	}, &cobra.Command{
		Use:   "page",
		Short: "Write the reference page of all configuration keys",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return config.WritePage(cmd.OutOrStdout()) },
	})
	return cmd
}

// readDocument reads the configuration file named by the first argument or, without arguments, the one that run would read.
func readDocument(f *flags, args []string) (*config.Document, error) {
	if len(args) > 0 {
		f.config = args[0]
	}
	sources, err := f.sources()
	if err != nil {
		return nil, err
	}
	return config.ReadDocument(sources)
}

func configCheckCmd() *cobra.Command {
	var f flags
	var strict bool
	var against, output string
	cmd := &cobra.Command{
		Use:   "check [FILE]",
		Short: "Report all errors of a configuration, or what a reload from another one would change",
		Example: `  pineport config check courier.toml --strict
  pineport config check next.toml --against courier.toml`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := readDocument(&f, args)
			if err != nil {
				return err
			}
			for _, warning := range doc.Warnings {
				if strict {
					doc.Faults = append(doc.Faults, warning)
				} else {
					fmt.Fprintln(cmd.ErrOrStderr(), "warning:", warning)
				}
			}
			if err := doc.Err(); err != nil {
				return err
			}
			if against == "" {
				fmt.Fprintln(cmd.OutOrStdout(), "sound")
				return nil
			}
			old, err := config.ReadDocument(config.Sources{Getenv: os.Getenv, File: against})
			if err == nil {
				err = old.Err()
			}
			if err != nil {
				return err
			}
			return printChanges(cmd.OutOrStdout(), old.Diff(doc), output)
		},
	}
	f.add(cmd)
	cmd.Flags().BoolVar(&strict, "strict", false, "treat warnings as errors: unknown keys, and settings without effect because of others")
	cmd.Flags().StringVar(&against, "against", "", "configuration file of a running courier: show what a reload would change")
	cmd.Flags().StringVar(&output, "output", "table", "table or json")
	return cmd
}

func printChanges(out io.Writer, changes []config.KeyChange, output string) error {
	switch output {
	case "json":
		return printJSON(out, changes)
	case "table":
		table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
		if len(changes) == 0 {
			fmt.Fprintln(table, "nothing would change")
		}
		for _, change := range changes {
			fmt.Fprintf(table, "%s\t%s -> %s\t%s\n", change.Key, cmp.Or(change.Old, "-"), cmp.Or(change.New, "-"), change.Effect)
		}
		return table.Flush()
	}
	return errors.New("--output: want table or json")
}

func configShowCmd() *cobra.Command {
	var f flags
	var output string
	cmd := &cobra.Command{
		Use:   "show [FILE]",
		Short: "Print every value and its source",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := readDocument(&f, args)
			if err != nil {
				return err
			}
			var paths []string
			for path := range doc.Values {
				if _, known := config.Lookup(path); known {
					paths = append(paths, path)
				}
			}
			slices.Sort(paths)
			if output == "json" {
				return printJSON(cmd.OutOrStdout(), doc.Values)
			}
			table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 8, 2, ' ', 0)
			for _, path := range paths {
				value := doc.Values[path]
				fmt.Fprintf(table, "%s\t%s\t%s\n", path, value.Text, valueOrigin(doc.File, value))
			}
			if err := table.Flush(); err != nil {
				return err
			}
			return doc.Err()
		},
	}
	f.add(cmd)
	cmd.Flags().StringVar(&output, "output", "table", "table or json")
	return cmd
}

func valueOrigin(file string, value config.Value) string {
	if value.From == "file" {
		return fmt.Sprintf("%s:%d", file, value.Line)
	}
	return value.From
}

func configExplainCmd() *cobra.Command {
	var f flags
	cmd := &cobra.Command{
		Use:     "explain KEY",
		Short:   "Explain a key: meaning, unit, range, default, and the source of its value",
		Example: "  pineport config explain settings.family-info.slots --config courier.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			key, ok := config.Lookup(args[0])
			if !ok {
				var known []string
				for _, key := range config.Schema {
					known = append(known, key.Path)
				}
				hint := "pineport config page lists all keys"
				if nearest := config.Nearest(args[0], known); nearest != "" {
					hint = nearest + "?" // completes the error to: "no key has the name ...; NEAREST?"
				}
				return fmt.Errorf("no key has the name %q; %s", args[0], hint)
			}
			out := cmd.OutOrStdout()
			if key.Ignored {
				fmt.Fprintf(out, "%s: used by the platform; couriers do not read it\n", key.Path)
				return nil
			}
			fmt.Fprintf(out, "%s: %s\n  expected: %s\n", key.Path, key.Doc, key.Expects())
			for _, row := range [][2]string{{"unit", key.Unit}, {"default", key.Default}, {"variable", key.EnvVar}, {"on reload", key.OnReload()}} {
				if row[1] != "" {
					fmt.Fprintf(out, "  %s: %s\n", row[0], row[1])
				}
			}
			if f.config == "" && os.Getenv("RELAY_CONFIG") == "" {
				return nil
			}
			doc, err := readDocument(&f, nil)
			if err != nil {
				return err
			}
			for _, path := range doc.Paths(key.Path) {
				if value, ok := doc.Values[path]; ok && strings.TrimSpace(value.Text) != "" {
					fmt.Fprintf(out, "  now: %s = %s (%s)\n", path, value.Text, valueOrigin(doc.File, value))
				}
			}
			return nil
		},
	}
	f.add(cmd)
	return cmd
}
