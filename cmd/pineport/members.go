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

// responseTimeout bounds a request to the courier's admin server.
const responseTimeout = 3 * time.Second

// maxResponseSize bounds the response body that is read, in bytes. Several thousand members fit into it.
const maxResponseSize = 4 << 20

// membersQuery queries a courier's admin server about its fleet.
type membersQuery struct {
	flags  flags
	admin  string // admin address; empty: taken from the configuration
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

// show prints the fleet, or only the member called name if name is not empty.
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
	return fmt.Errorf("--output: want table or json, not %q", q.output)
}

// watch prints the fleet each time it has changed, until ctx is done.
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
		Long: `Show the fleet as one courier knows it. The courier is reached at its admin address: --ops, or ops in its configuration.

The first line gives the status of the courier in its fleet: alone (no other member is alive), part (some are), whole (all are),
just woken (the process was paused or its clock jumped), or stood back (a newer courier of this name is a member).
SINCE is when a member entered its state, as the time after the courier started its membership.`}
	var query membersQuery
	var watchInterval time.Duration
	list := &cobra.Command{Use: "ls", Short: "List the members with their states, and the status of the courier itself", Args: cobra.NoArgs,
		Example: "  pineport members ls --ops 127.0.0.1:8081\n  pineport members ls --config courier.toml --output json",
		RunE:    func(cmd *cobra.Command, _ []string) error { return query.show(cmd.OutOrStdout(), "") }}
	show := &cobra.Command{Use: "show NAME", Short: "Show one member", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return query.show(cmd.OutOrStdout(), args[0]) }}
	watch := &cobra.Command{Use: "watch", Short: "List the members each time they change, until interrupted", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return query.watch(cmd.Context(), cmd.OutOrStdout(), watchInterval)
		}}
	watch.Flags().DurationVar(&watchInterval, "every", time.Second, "interval between requests")
	removeMember := &cobra.Command{Use: "gone NAME", Short: "Do not count a failed member any more in the fleet size, because it will not come back", Args: cobra.ExactArgs(1),
		Long: "Do not count a failed member any more in the fleet size, because it will not come back. This affects only the courier that gets the request: run the command for each courier.",
		RunE: func(_ *cobra.Command, args []string) error {
			_, err := query.request(http.MethodPost, "/peers/gone/"+url.PathEscape(args[0]))
			return err
		}}
	for _, command := range []*cobra.Command{list, show, watch, removeMember} {
		query.flags.add(command)
		command.Flags().StringVar(&query.admin, "ops", "", "the courier's admin address (empty: from its configuration)")
		command.Flags().StringVar(&query.output, "output", "table", "table or json")
		cmd.AddCommand(command)
	}
	return cmd
}

// requestAdmin sends a request to a courier's admin address, addr or, if that is empty, ops in its configuration, and returns the response body.
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
			return nil, fmt.Errorf("no admin address: --ops is not given and ops is not set in the configuration")
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
		err = fmt.Errorf("the courier at %s answered with status 404: it is not a member of a fleet, or does not share quotas", addr)
	} else if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("the courier at %s answered with status %s", addr, response.Status)
	}
	return text, err
}

func showMembers(out io.Writer, report membersReport) error {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(table, "courier %s, incarnation %d: %s; %d to %d couriers; %d revoked, %d stale reports\n\n", report.Self, report.Incarnation, report.LocalStatus,
		report.MinCouriers, report.MaxCouriers, report.Revoked, report.StaleReports)
	fmt.Fprintln(table, "NAME\tSTATE\tINCARNATION\tSINCE\tZONE\tADDRESS")
	for _, member := range report.Members {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\n", member.Name, member.StateName, member.Incarnation, (time.Duration(member.Since) * time.Microsecond).Round(time.Millisecond),
			cmp.Or(member.Zone, "-"), cmp.Or(member.Address, "-"))
	}
	return table.Flush()
}
