package capacity

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"pineport/testbed/slopes"
)

// Page is all that follows from a plan and from what was measured.
type Page struct {
	Plan     *Plan            `json:"-"`
	Keys     map[string]any   `json:"plan"` // by the keys of plan.toml
	Derived  Derived          `json:"derived"`
	Checked  []Checked        `json:"checked"`
	Rows     []Answer         `json:"rows"`
	Events   []EventAnswer    `json:"events"`
	Promises []Promise        `json:"promises"`
	Missing  []Candidate      `json:"missing_first"`
	Trials   []Trial          `json:"trials"`
	NotKnown []string         `json:"not_measured"`
	Gaps     []Gap            `json:"gaps"`
	Runs     []RunLine        `json:"runs"`
	measured *slopes.Measured // for charts
}

// Gap is what a scale run set out to measure and could not.
type Gap struct {
	Run    string `json:"run"`
	Figure string `json:"figure"`
	Why    string `json:"why"`
}

// RunLine is what the page says of a scale run.
type RunLine struct {
	Name     string  `json:"name"`
	About    string  `json:"about"`
	Command  string  `json:"command"`
	Commit   string  `json:"commit"`
	Taken    string  `json:"taken"`
	Machine  string  `json:"machine"`
	Plays    int     `json:"plays"`
	Seconds  float64 `json:"seconds"`
	Verified string  `json:"verified,omitempty"`
}

// Load reads the two files; it is all the I/O of this package. A file of measured slopes that is not there is an error: what is not
// measured is notified from what was not found.
func Load(planFile, measuredFile string) (*Plan, *slopes.Measured, error) {
	text, err := os.ReadFile(planFile)
	if err != nil {
		return nil, nil, err
	}
	plan, planErr := ReadPlan(planFile, text)
	text, err = os.ReadFile(measuredFile)
	if err != nil {
		return nil, nil, errors.Join(planErr, err)
	}
	measured, err := slopes.Parse(measuredFile, text)
	return plan, measured, errors.Join(planErr, err)
}

// Evaluate works out the whole page.
func Evaluate(plan *Plan, measured *slopes.Measured) (*Page, error) {
	page := &Page{Plan: plan, Keys: plan.values(), Derived: Derive(plan), Promises: Promises(), measured: measured}
	page.Checked = Check(plan, &page.Derived)
	if err := page.work(); err != nil {
		return nil, err
	}
	page.Missing = Candidates(page.allAnswers())
	page.NotKnown = page.unmeasured()
	page.runs()
	return page, page.trials()
}

func (page *Page) work() error {
	var faults []error
	for _, row := range Rows() {
		answer, err := row.Work(page.Plan, &page.Derived, page.measured)
		page.Rows, faults = append(page.Rows, answer), append(faults, err)
	}
	for _, event := range Events() {
		answer, err := event.Work(page.Plan, &page.Derived, page.measured)
		page.Events, faults = append(page.Events, answer), append(faults, err)
	}
	return errors.Join(faults...)
}

// allAnswers are the rows of both parts.
func (page *Page) allAnswers() []Answer {
	all := append([]Answer(nil), page.Rows...)
	for _, event := range page.Events {
		for _, line := range event.Lines {
			if line.Answer != nil {
				all = append(all, *line.Answer)
			}
		}
	}
	return all
}

// unmeasured tells in words what the page has no figure for, or only a part of one.
func (page *Page) unmeasured() (all []string) {
	for _, answer := range page.allAnswers() {
		if len(answer.Missing) == 0 {
			continue
		}
		what := fmt.Sprintf("%s: %s (%s): not measured", answer.Role, answer.What, answer.Resource)
		if answer.AtLeast {
			what += " in part"
		}
		all = append(all, what+": "+strings.Join(answer.Missing, ", "))
	}
	return all
}

func (page *Page) runs() {
	for _, run := range page.measured.Runs {
		page.Runs = append(page.Runs, RunLine{Name: run.Name, About: run.About, Command: run.Command, Commit: run.Commit, Taken: run.StartedAt,
			Machine: run.Machine, Plays: run.Plays, Seconds: run.Seconds, Verified: run.Verified})
		for _, gap := range run.Missing {
			page.Gaps = append(page.Gaps, Gap{Run: run.Name, Figure: gap.Figure, Why: gap.Why})
		}
	}
}

// trials makes the choice again with assumed budgets that are smaller and larger.
func (page *Page) trials() error {
	for _, times := range trialTimes {
		other := &Page{Plan: page.Plan.withBudgets(times), Derived: page.Derived, measured: page.measured}
		if err := other.work(); err != nil {
			return err
		}
		if first := Candidates(other.allAnswers())[0]; first.Share != nil {
			page.Trials = append(page.Trials, Trial{Times: times, First: first.Mechanism.ID, Share: *first.Share})
		}
	}
	return nil
}

// values are all figures of a plan by their keys.
func (p *Plan) values() map[string]any {
	all := map[string]any{}
	for _, key := range Keys() {
		all[key.Path] = reflect.ValueOf(p).Elem().FieldByIndex(key.index).Interface()
	}
	return all
}

// withBudgets is the plan with its assumed budgets so many times as large.
func (p *Plan) withBudgets(times float64) *Plan {
	other := *p
	for _, key := range Keys() {
		if p.IsAssumed(key.Path) && strings.HasPrefix(key.Path, "budget.") {
			field := reflect.ValueOf(&other).Elem().FieldByIndex(key.index)
			field.SetFloat(times * field.Float())
		}
	}
	return &other
}
