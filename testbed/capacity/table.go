package capacity

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// Table returns the page as text for a terminal: rows by role, events, and the mechanisms in the order of replacement.
func (page *Page) Table() string {
	text := &strings.Builder{}
	w := tabwriter.NewWriter(text, 0, 8, 2, ' ', 0)
	page.tableOfRows(w)
	page.tableOfEvents(w)
	page.tableOfCandidates(w)
	w.Flush()
	return text.String()
}

func (page *Page) tableOfRows(w *tabwriter.Writer) {
	fmt.Fprintln(w, "ROLE\tRESOURCE\tWHAT\tPLANNED\tEXTRAPOLATED\tBUDGET\tBREAKS AT\tTODAY")
	for i := range page.Rows {
		result := &page.Rows[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", result.Role, result.Resource, result.What, figureCell(result), extrapolationText(result), budgetCell(result),
			shareCell(result), result.Status)
	}
}

// extrapolationText returns how far the figure of a row is extrapolated, with a mark if it is more than tenfold.
func extrapolationText(a *RowResult) string {
	switch {
	case a.Evidence != Measured:
		return string(a.Evidence)
	case a.Marked:
		return formatRounded(a.Extrapolation) + " x !"
	case a.Extrapolation > 1:
		return formatRounded(a.Extrapolation) + " x"
	}
	return "within"
}

func (page *Page) tableOfEvents(w *tabwriter.Writer) {
	fmt.Fprintln(w, "\nEVENT\tHOW OFTEN\tWHAT\tFIGURE\tEXTRAPOLATED")
	for _, event := range page.Events {
		for _, line := range event.Lines {
			if line.Result != nil {
				fmt.Fprintf(w, "%s\t%s %s\t%s: %s\t%s\t%s\n", event.Name, formatRounded(event.Count), event.Frequency, line.Aspect, line.Result.What,
					figureCell(line.Result), extrapolationText(line.Result))
			}
		}
	}
}

func (page *Page) tableOfCandidates(w *tabwriter.Writer) {
	fmt.Fprintln(w, "\nRANK\tBREAKS AT\tROW\tREASON\tREPLACEMENT")
	for i, candidate := range page.Candidates {
		place, share := fmt.Sprint(i+1), string(NotMeasured)
		if candidate.Share == nil {
			place = emptyCell
		} else {
			share = percent(*candidate.Share)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", place, share, orEmpty(candidate.Row), candidate.Why, candidate.Mechanism.Replacement)
	}
}

// JSON returns the page for programs. The output is deterministic for the same two files.
func (page *Page) JSON() (string, error) {
	text, err := json.MarshalIndent(page, "", "  ")
	return string(text) + "\n", err
}
