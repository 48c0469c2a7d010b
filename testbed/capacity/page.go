package capacity

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"pineport/testbed/slopes"
)

// Page holds all results for a plan and a set of measured slopes.
type Page struct {
	Plan        *Plan            `json:"-"`
	PlanValues  map[string]any   `json:"plan"` // values by the keys of plan.toml
	Derived     Derived          `json:"derived"`
	Checked     []StatedCheck    `json:"checked"`
	Rows        []RowResult      `json:"rows"`
	Events      []EventResult    `json:"events"`
	Promises    []Promise        `json:"promises"`
	Candidates  []Candidate      `json:"missing_first"`
	Variations  []Variation      `json:"trials"`
	NotMeasured []string         `json:"not_measured"`
	Gaps        []Gap            `json:"gaps"`
	Runs        []RunSummary     `json:"runs"`
	measured    *slopes.Measured // for charts
}

// Gap is a figure that a scale run was meant to measure but could not.
type Gap struct {
	Run    string `json:"run"`
	Figure string `json:"figure"`
	Why    string `json:"why"`
}

// RunSummary describes a scale run on the page.
type RunSummary struct {
	Name             string  `json:"name"`
	About            string  `json:"about"`
	Command          string  `json:"command"`
	Commit           string  `json:"commit"`
	Date             string  `json:"taken"`
	Machine          string  `json:"machine"`
	Repetitions      int     `json:"plays"`
	Seconds          float64 `json:"seconds"`
	HollowComparison string  `json:"verified,omitempty"`
}

// Load reads the plan and the measured slopes. No other function of this package does I/O. It returns an error if either file does not
// exist. A slope that is not in the file is no error: rows that use it are shown as not measured.
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

// Evaluate computes the whole page.
func Evaluate(plan *Plan, measured *slopes.Measured) (*Page, error) {
	page := &Page{Plan: plan, PlanValues: plan.values(), Derived: Derive(plan), Promises: Promises(), measured: measured}
	page.Checked = Check(plan, &page.Derived)
	if err := page.evaluate(); err != nil {
		return nil, err
	}
	page.Candidates = Candidates(page.allResults())
	page.NotMeasured = page.listNotMeasured()
	page.runs()
	return page, page.variations()
}

func (page *Page) evaluate() error {
	var faults []error
	for _, row := range Rows() {
		result, err := row.Evaluate(page.Plan, &page.Derived, page.measured)
		page.Rows, faults = append(page.Rows, result), append(faults, err)
	}
	for _, event := range Events() {
		result, err := event.Evaluate(page.Plan, &page.Derived, page.measured)
		page.Events, faults = append(page.Events, result), append(faults, err)
	}
	return errors.Join(faults...)
}

// allResults returns the results of the rows and of the event lines.
func (page *Page) allResults() []RowResult {
	all := append([]RowResult(nil), page.Rows...)
	for _, event := range page.Events {
		for _, line := range event.Lines {
			if line.Result != nil {
				all = append(all, *line.Result)
			}
		}
	}
	return all
}

// listNotMeasured returns one text for each row whose figure is missing or partial.
func (page *Page) listNotMeasured() (all []string) {
	for _, result := range page.allResults() {
		if len(result.Missing) == 0 {
			continue
		}
		what := fmt.Sprintf("%s: %s (%s): not measured", result.Role, result.What, result.Resource)
		if result.AtLeast {
			what += " in part"
		}
		all = append(all, what+": "+strings.Join(result.Missing, ", "))
	}
	return all
}

func (page *Page) runs() {
	for _, run := range page.measured.Runs {
		page.Runs = append(page.Runs, RunSummary{Name: run.Name, About: run.About, Command: run.Command, Commit: run.Commit, Date: run.StartedAt,
			Machine: run.Machine, Repetitions: run.Plays, Seconds: run.Seconds, HollowComparison: run.Verified})
		for _, gap := range run.Missing {
			page.Gaps = append(page.Gaps, Gap{Run: run.Name, Figure: gap.Figure, Why: gap.Why})
		}
	}
}

// variations repeats the choice with the assumed budgets scaled by each of variationFactors.
func (page *Page) variations() error {
	for _, factor := range variationFactors {
		scaled := &Page{Plan: page.Plan.withBudgets(factor), Derived: page.Derived, measured: page.measured}
		if err := scaled.evaluate(); err != nil {
			return err
		}
		if first := Candidates(scaled.allResults())[0]; first.Share != nil {
			page.Variations = append(page.Variations, Variation{Factor: factor, First: first.Mechanism.ID, Share: *first.Share})
		}
	}
	return nil
}

// values returns all values of a plan by their keys.
func (p *Plan) values() map[string]any {
	all := map[string]any{}
	for _, key := range Keys() {
		all[key.Path] = reflect.ValueOf(p).Elem().FieldByIndex(key.index).Interface()
	}
	return all
}

// withBudgets returns a copy of the plan with its assumed budgets multiplied by a factor.
func (p *Plan) withBudgets(factor float64) *Plan {
	scaled := *p
	for _, key := range Keys() {
		if p.IsAssumed(key.Path) && strings.HasPrefix(key.Path, "budget.") {
			field := reflect.ValueOf(&scaled).Elem().FieldByIndex(key.index)
			field.SetFloat(factor * field.Float())
		}
	}
	return &scaled
}
