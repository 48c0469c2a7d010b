package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"pineport/config"
)

// answerTimeout is how long a courier may take to show its fleet.
const answerTimeout = 3 * time.Second

// maxAnswer bounds what is read of an answer: some thousand members.
const maxAnswer = 4 << 20

func membersCmd() *cobra.Command {
	cmd := &cobra.Command{Use: "members", Short: "Show the fleet as one courier knows it",
		Long: "Show the fleet as one courier knows it, from its admin address: --ops, or ops of its configuration."}
	var f flags
	var at, output string
	var every time.Duration
	ask := func(method, path string) ([]byte, error) { return askAdmin(&f, at, method, path) }
	look := func() (p pictured, err error) {
		text, err := ask(http.MethodGet, "/peers")
		if err == nil {
			err = json.Unmarshal(text, &p)
		}
		return p, err
	}
	show := func(out io.Writer, name string) error {
		p, err := look()
		if err != nil {
			return err
		}
		if name != "" {
			found := p.Members[:0]
			for _, m := range p.Members {
				if string(m.Name) == name {
					found = append(found, m)
				}
			}
			if p.Members = found; len(found) == 0 {
				return fmt.Errorf("no member has the name %q", name)
			}
		}
		switch output {
		case "json":
			return printJSON(out, p)
		case "table":
			return showMembers(out, p)
		}
		return fmt.Errorf("--output: table or json was expected, not %q", output)
	}
	ls := &cobra.Command{Use: "ls", Short: "List the members, their states and this courier's own status", Args: cobra.NoArgs,
		Example: "  pineport members ls --ops 127.0.0.1:8081\n  pineport members ls --config courier.toml --output json",
		RunE:    func(cmd *cobra.Command, _ []string) error { return show(cmd.OutOrStdout(), "") }}
	one := &cobra.Command{Use: "show NAME", Short: "Show one member", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return show(cmd.OutOrStdout(), args[0]) }}
	watch := &cobra.Command{Use: "watch", Short: "List the members each time the view changes, until interrupted", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for last := uint64(0); ; {
				p, err := look()
				if err != nil {
					return err
				}
				if p.Version != last || last == 0 {
					if err := show(cmd.OutOrStdout(), ""); err != nil {
						return err
					}
				}
				last = p.Version
				select {
				case <-cmd.Context().Done():
					return nil
				case <-time.After(every):
				}
			}
		}}
	watch.Flags().DurationVar(&every, "every", time.Second, "how often to look")
	gone := &cobra.Command{Use: "gone NAME", Short: "Say that a member that failed will not come back, so that it is counted no more", Args: cobra.ExactArgs(1),
		Long: "Say that a member that failed will not come back. Only the courier that is asked counts it no more: say it to each.",
		RunE: func(cmd *cobra.Command, args []string) error {
			_, err := ask(http.MethodPost, "/peers/gone/"+url.PathEscape(args[0]))
			return err
		}}
	for _, c := range []*cobra.Command{ls, one, watch, gone} {
		f.add(c)
		c.Flags().StringVar(&at, "ops", "", "the courier's admin address (empty: from its configuration)")
		c.Flags().StringVar(&output, "output", "table", "table or json")
		cmd.AddCommand(c)
	}
	return cmd
}

// askAdmin asks a courier at its operators' address: the one given, or ops of its configuration.
func askAdmin(f *flags, addr, method, path string) ([]byte, error) {
	if addr == "" {
		sources, err := f.sources()
		if err != nil {
			return nil, err
		}
		doc, err := config.ReadDocument(sources)
		if err != nil {
			return nil, err
		}
		if addr = doc.Values["ops"].Text; addr == "" {
			return nil, fmt.Errorf("ops: not set in the configuration, and no --ops given")
		}
	}
	req, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	reply, err := (&http.Client{Timeout: answerTimeout}).Do(req)
	if err != nil {
		return nil, err
	}
	defer reply.Body.Close()
	text, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswer))
	if err == nil && reply.StatusCode == http.StatusNotFound {
		err = fmt.Errorf("the courier at %s is in no fleet, or shares nothing", addr)
	} else if err == nil && reply.StatusCode != http.StatusOK {
		err = fmt.Errorf("the courier at %s says: %s", addr, reply.Status)
	}
	return text, err
}

func showMembers(out io.Writer, p pictured) error {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(table, "courier %s, incarnation %d: %s; %d to %d couriers; %d revoked, %d stale reports\n\n", p.Self, p.Incarnation, p.LocalStatus,
		p.MinCouriers, p.MaxCouriers, p.Revoked, p.StaleReports)
	fmt.Fprintln(table, "NAME\tSTATE\tINCARNATION\tSINCE\tZONE\tADDRESS")
	for _, m := range p.Members {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\n", m.Name, m.StateName, m.Incarnation, (time.Duration(m.Since) * time.Microsecond).Round(time.Millisecond),
			cmp.Or(m.Zone, "-"), cmp.Or(m.Address, "-"))
	}
	return table.Flush()
}
