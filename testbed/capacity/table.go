package capacity

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// Table writes the page for a terminal: rows by role, events, and what is missing first.
func (page *Page) Table() string {
	text := &strings.Builder{}
	w := tabwriter.NewWriter(text, 0, 8, 2, ' ', 0)
	page.tableOfRows(w)
	page.tableOfEvents(w)
	page.tableOfMissing(w)
	w.Flush()
	return text.String()
}

func (page *Page) tableOfRows(w *tabwriter.Writer) {
	fmt.Fprintln(w, "ROLE\tRESOURCE\tWHAT\tPLANNED\tCARRIED\tBUDGET\tBREAKS AT\tTODAY")
	for i := range page.Rows {
		answer := &page.Rows[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", answer.Role, answer.Resource, answer.What, figureCell(answer), carriedText(answer), budgetCell(answer),
			shareCell(answer), answer.Status)
	}
}

// carriedText is how far a row is carried, with a mark over tenfold.
func carriedText(a *Answer) string {
	switch {
	case a.Evidence != Measured:
		return string(a.Evidence)
	case a.Marked:
		return plain(a.Carried) + " x !"
	case a.Carried > 1:
		return plain(a.Carried) + " x"
	}
	return "within"
}

func (page *Page) tableOfEvents(w *tabwriter.Writer) {
	fmt.Fprintln(w, "\nEVENT\tHOW OFTEN\tWHAT\tFIGURE\tCARRIED")
	for _, event := range page.Events {
		for _, line := range event.Lines {
			if line.Answer != nil {
				fmt.Fprintf(w, "%s\t%s %s\t%s: %s\t%s\t%s\n", event.Name, plain(event.Count), event.Often, line.Aspect, line.Answer.What,
					figureCell(line.Answer), carriedText(line.Answer))
			}
		}
	}
}

func (page *Page) tableOfMissing(w *tabwriter.Writer) {
	fmt.Fprintln(w, "\nMISSING\tBREAKS AT\tBY\tWHY\tWHAT WOULD COME IN ITS PLACE")
	for i, candidate := range page.Missing {
		place, share := fmt.Sprint(i+1), string(NotMeasured)
		if candidate.Share == nil {
			place = empty
		} else {
			share = percent(*candidate.Share)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", place, share, orEmpty(candidate.Row), candidate.Why, candidate.Mechanism.Missing)
	}
}

// JSON writes the page for programs. The same two files give the same bytes.
func (page *Page) JSON() (string, error) {
	text, err := json.MarshalIndent(page, "", "  ")
	return string(text) + "\n", err
}
