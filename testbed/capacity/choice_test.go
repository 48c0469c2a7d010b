package capacity

import (
	"slices"
	"strings"
	"testing"
)

// breakingRow returns a row of a mechanism whose budget breaks at the given share.
func breakingRow(mechanism MechanismID, share float64) RowResult {
	return RowResult{What: "row of " + string(mechanism), Mechanism: mechanism, Share: &share, Budget: &Budget{}}
}

// candidateOrder returns the mechanisms of the candidates with a share, by rank.
func candidateOrder(results ...RowResult) (ids []MechanismID) {
	for _, candidate := range Candidates(results) {
		if candidate.Share != nil {
			ids = append(ids, candidate.Mechanism.ID)
		}
	}
	return ids
}

func TestChoice(t *testing.T) {
	onPath := func(id MechanismID) bool { mechanism, _ := MechanismOf(id); return mechanism.OnMessagePath }
	if !onPath(HeldWork) || !onPath(OutageAlone) || onPath(Membership) || onPath(Sharing) {
		t.Fatal("the cases below expect HeldWork and OutageAlone on the message path, and Membership and Sharing not")
	}
	withoutBudget := RowResult{What: "without a budget", Mechanism: OutageAlone}
	informational := breakingRow(FullList, 0.0001)
	informational.NotRankedReason = "for information"
	for what, try := range map[string]struct {
		answers []RowResult
		want    []MechanismID
	}{
		"the smallest share":                                {[]RowResult{breakingRow(Membership, 0.3), breakingRow(HeldWork, 0.1), breakingRow(Sharing, 0.01)}, []MechanismID{Sharing, HeldWork, Membership}},
		"close, and on the message path":                    {[]RowResult{breakingRow(Membership, 0.01), breakingRow(HeldWork, 0.019)}, []MechanismID{HeldWork, Membership}},
		"on the message path, but not close":                {[]RowResult{breakingRow(Membership, 0.01), breakingRow(HeldWork, 0.021)}, []MechanismID{Membership, HeldWork}},
		"close, both on the path, more rows":                {[]RowResult{breakingRow(HeldWork, 0.01), breakingRow(OutageAlone, 0.015), withoutBudget}, []MechanismID{OutageAlone, HeldWork}},
		"close, both on the path, equally many rows":        {[]RowResult{breakingRow(HeldWork, 0.01), breakingRow(OutageAlone, 0.015)}, []MechanismID{HeldWork, OutageAlone}},
		"smallest share of a mechanism's rows":              {[]RowResult{breakingRow(HeldWork, 0.5), breakingRow(HeldWork, 0.01), breakingRow(Sharing, 0.1)}, []MechanismID{HeldWork, Sharing}},
		"informational rows do not count":                   {[]RowResult{informational, breakingRow(Sharing, 0.1)}, []MechanismID{Sharing}},
		"close to the smallest remaining, not to the first": {[]RowResult{breakingRow(HeldWork, 0.01), breakingRow(Membership, 0.018), breakingRow(OutageAlone, 0.03)}, []MechanismID{HeldWork, OutageAlone, Membership}},
	} {
		if got := candidateOrder(try.answers...); !slices.Equal(got, try.want) {
			t.Errorf("%s: got %v, want %v", what, got, try.want)
		}
	}
}

// TestChoiceListsAllMechanisms checks that every mechanism is listed with a reason, including those without a share.
func TestChoiceListsAllMechanisms(t *testing.T) {
	candidates := Candidates([]RowResult{breakingRow(Membership, 0.01), breakingRow(HeldWork, 0.019)})
	if len(candidates) != len(Mechanisms()) {
		t.Fatalf("%d candidates of %d mechanisms", len(candidates), len(Mechanisms()))
	}
	if why := candidates[0].Why; !strings.Contains(why, "on the message path") || !strings.Contains(why, string(Membership)) {
		t.Errorf("reason of the first candidate: %q", why)
	}
	for _, candidate := range candidates[2:] {
		if candidate.Share != nil || !strings.Contains(candidate.Why, "not ranked") {
			t.Errorf("%+v", candidate)
		}
	}
}

// TestRowsNameMechanisms checks that every row whose budget counts in the choice belongs to a mechanism, and that every mechanism has a row.
func TestRowsNameMechanisms(t *testing.T) {
	rowCount := map[MechanismID]int{}
	rows := Rows()
	for _, event := range Events() {
		for _, line := range event.Lines {
			if line.Row != nil {
				rows = append(rows, *line.Row)
			}
		}
	}
	for _, row := range rows {
		_, found := MechanismOf(row.Mechanism)
		if hasBudget := row.Budget != nil || row.CodeBound != nil; hasBudget && row.NotRankedReason == "" && !found {
			t.Errorf("%s: unknown mechanism %q", row.What, row.Mechanism)
		}
		rowCount[row.Mechanism]++
	}
	for _, mechanism := range Mechanisms() {
		if rowCount[mechanism.ID] == 0 {
			t.Errorf("no row belongs to %s", mechanism.ID)
		}
	}
}

// TestVariationsScaleOnlyAssumedBudgets checks that variations leave budgets that are stated requirements unchanged.
func TestVariationsScaleOnlyAssumedBudgets(t *testing.T) {
	plan := examplePlan(t)
	scaled := plan.withBudgets(10)
	if scaled.Budget.Courier.StepSeconds != 10*plan.Budget.Courier.StepSeconds || scaled.Budget.Control != plan.Budget.Control ||
		scaled.Budget.Courier.ReadySeconds != plan.Budget.Courier.ReadySeconds || scaled.Traffic != plan.Traffic {
		t.Errorf("budgets scaled by 10: %+v", scaled)
	}
	if page := fixturePage(t); len(page.Variations) != len(variationFactors) {
		t.Errorf("variations: %+v", page.Variations)
	}
}
