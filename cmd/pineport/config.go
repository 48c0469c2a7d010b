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
		Short: "Write a commented example, in TOML",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := io.WriteString(cmd.OutOrStdout(), config.Example())
			return err
		},
	}, &cobra.Command{
		Use:   "page",
		Short: "Write the page on configuration, from the schema",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return config.WritePage(cmd.OutOrStdout()) },
	})
	return cmd
}

// document reads the configuration named by an argument, or as run would.
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
		Short: "Tell all faults of a configuration, and what a reload from another one would do",
		Example: `  pineport config check courier.toml --strict
  pineport config check next.toml --against courier.toml`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := readDocument(&f, args)
			if err != nil {
				return err
			}
			for _, w := range doc.Warnings {
				if strict {
					doc.Faults = append(doc.Faults, w)
				} else {
					fmt.Fprintln(cmd.ErrOrStderr(), "warning:", w)
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
	cmd.Flags().BoolVar(&strict, "strict", false, "unknown keys, and settings that come to nothing beside others, are faults")
	cmd.Flags().StringVar(&against, "against", "", "the file that a running courier has: tell what a reload would do")
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
		for _, p := range changes {
			fmt.Fprintf(table, "%s\t%s -> %s\t%s\n", p.Key, cmp.Or(p.Old, "-"), cmp.Or(p.New, "-"), p.Effect)
		}
		return table.Flush()
	}
	return errors.New("--output: table or json was expected")
}

func configShowCmd() *cobra.Command {
	var f flags
	var output string
	cmd := &cobra.Command{
		Use:   "show [FILE]",
		Short: "Print every value and where it came from",
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
				v := doc.Values[path]
				fmt.Fprintf(table, "%s\t%s\t%s\n", path, v.Text, valueOrigin(doc.File, v))
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

func valueOrigin(file string, v config.Value) string {
	if v.From == "file" {
		return fmt.Sprintf("%s:%d", file, v.Line)
	}
	return v.From
}

func configExplainCmd() *cobra.Command {
	var f flags
	cmd := &cobra.Command{
		Use:     "explain KEY",
		Short:   "Say what a key means, its unit, range and default, and where its value comes from",
		Example: "  pineport config explain settings.family-info.slots --config courier.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			k, ok := config.Lookup(args[0])
			if !ok {
				var known []string
				for _, k := range config.Schema {
					known = append(known, k.Path)
				}
				hint := "pineport config page lists them"
				if nearest := config.Nearest(args[0], known); nearest != "" {
					hint = nearest + "?"
				}
				return fmt.Errorf("no key has the name %q; %s", args[0], hint)
			}
			out := cmd.OutOrStdout()
			if k.Ignored {
				fmt.Fprintf(out, "%s: of the platform; nothing here reads it\n", k.Path)
				return nil
			}
			fmt.Fprintf(out, "%s: %s\n  expected: %s\n", k.Path, k.Doc, k.Expects())
			for _, row := range [][2]string{{"unit", k.Unit}, {"default", k.Default}, {"variable", k.EnvVar}, {"on reload", k.OnReload()}} {
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
			for _, path := range doc.Paths(k.Path) {
				if v, ok := doc.Values[path]; ok && strings.TrimSpace(v.Text) != "" {
					fmt.Fprintf(out, "  now: %s = %s (%s)\n", path, v.Text, valueOrigin(doc.File, v))
				}
			}
			return nil
		},
	}
	f.add(cmd)
	return cmd
}
