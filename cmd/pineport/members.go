package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"pineport/config"
	"pineport/membership"
)

// answerTimeout is how long a courier may take to show its fleet.
const responseTimeout = 3 * time.Second

// maxAnswer bounds what is read of an answer: some thousand members.
const maxResponseSize = 4 << 20

// membersQuery asks a courier about its fleet.
type membersQuery struct {
	flags  flags
	admin  string // address; empty: from the configuration
	output string
}

func (q *membersQuery) request(method, path string) ([]byte, error) {
	return requestAdmin(&q.flags, q.admin, method, path)
}

func (q *membersQuery) fetch() (fleet membersReport, err error) {
	text, err := q.request(http.MethodGet, "/peers")
	if err == nil {
		err = json.Unmarshal(text, &fleet)
	}
	return fleet, err
}

// show prints the fleet, or one member of it.
func (q *membersQuery) show(out io.Writer, name string) error {
	fleet, err := q.fetch()
	if err != nil {
		return err
	}
	if name != "" {
		isOther := func(member membership.Member) bool { return string(member.Name) != name }
		if fleet.Members = slices.DeleteFunc(fleet.Members, isOther); len(fleet.Members) == 0 {
			return fmt.Errorf("no member has the name %q", name)
		}
	}
	switch q.output {
	case "json":
		return printJSON(out, fleet)
	case "table":
		return showMembers(out, fleet)
	}
	return fmt.Errorf("--output: table or json was expected, not %q", q.output)
}

// watch prints the fleet each time that it has changed, until the context ends.
func (q *membersQuery) watch(ctx context.Context, out io.Writer, interval time.Duration) error {
	for lastVersion := uint64(0); ; {
		fleet, err := q.fetch()
		if err != nil {
			return err
		}
		if fleet.Version != lastVersion || lastVersion == 0 {
			if err := q.show(out, ""); err != nil {
				return err
			}
		}
		lastVersion = fleet.Version
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
		}
	}
}

func membersCmd() *cobra.Command {
	cmd := &cobra.Command{Use: "members", Short: "Show the fleet as one courier knows it",
		Long: "Show the fleet as one courier knows it, from its admin address: --ops, or ops of its configuration."}
	var query membersQuery
	var watchInterval time.Duration
	list := &cobra.Command{Use: "ls", Short: "List the members, their states and this courier's own status", Args: cobra.NoArgs,
		Example: "  pineport members ls --ops 127.0.0.1:8081\n  pineport members ls --config courier.toml --output json",
		RunE:    func(cmd *cobra.Command, _ []string) error { return query.show(cmd.OutOrStdout(), "") }}
	show := &cobra.Command{Use: "show NAME", Short: "Show one member", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return query.show(cmd.OutOrStdout(), args[0]) }}
	watch := &cobra.Command{Use: "watch", Short: "List the members each time they change, until interrupted", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return query.watch(cmd.Context(), cmd.OutOrStdout(), watchInterval)
		}}
	watch.Flags().DurationVar(&watchInterval, "every", time.Second, "how often to look")
	gone := &cobra.Command{Use: "gone NAME", Short: "Report that a failed member will not come back, so that it is not counted any more", Args: cobra.ExactArgs(1),
		Long: "Report that a failed member will not come back. Only the courier that is asked stops counting it: report it to each.",
		RunE: func(_ *cobra.Command, args []string) error {
			_, err := query.request(http.MethodPost, "/peers/gone/"+url.PathEscape(args[0]))
			return err
		}}
	for _, command := range []*cobra.Command{list, show, watch, gone} {
		query.flags.add(command)
		command.Flags().StringVar(&query.admin, "ops", "", "the courier's admin address (empty: from its configuration)")
		command.Flags().StringVar(&query.output, "output", "table", "table or json")
		cmd.AddCommand(command)
	}
	return cmd
}

// askAdmin calls a courier at its admin address: the one given, or ops of its configuration.
func requestAdmin(f *flags, addr, method, path string) ([]byte, error) {
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
	response, err := (&http.Client{Timeout: responseTimeout}).Do(req)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize))
	if err == nil && response.StatusCode == http.StatusNotFound {
		err = fmt.Errorf("the courier at %s is in no fleet, or shares nothing", addr)
	} else if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("the courier at %s says: %s", addr, response.Status)
	}
	return text, err
}

func showMembers(out io.Writer, p membersReport) error {
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
