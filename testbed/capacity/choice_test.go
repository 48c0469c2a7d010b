package capacity

import (
	"slices"
	"strings"
	"testing"
)

// broken is a row of a mechanism whose budget breaks at a share.
func broken(mechanism MechanismID, share float64) Answer {
	return Answer{What: "row of " + string(mechanism), Mechanism: mechanism, Share: &share, Budget: &Budget{}}
}

// order is the candidates with a share, in their order.
func order(answers ...Answer) (ids []MechanismID) {
	for _, candidate := range Candidates(answers) {
		if candidate.Share != nil {
			ids = append(ids, candidate.Mechanism.ID)
		}
	}
	return ids
}

func TestChoice(t *testing.T) {
	onPath := func(id MechanismID) bool { mechanism, _ := MechanismOf(id); return mechanism.OnPath }
	if !onPath(HeldWork) || !onPath(OutageAlone) || onPath(Membership) || onPath(Sharing) {
		t.Fatal("the cases below take these for on a message's way, and not")
	}
	another := Answer{What: "without a budget", Mechanism: OutageAlone}
	notified := broken(FullList, 0.0001)
	notified.Reported = "for information"
	for what, try := range map[string]struct {
		answers []Answer
		want    []MechanismID
	}{
		"the smallest share":                           {[]Answer{broken(Membership, 0.3), broken(HeldWork, 0.1), broken(Sharing, 0.01)}, []MechanismID{Sharing, HeldWork, Membership}},
		"close, and on a message's way":                {[]Answer{broken(Membership, 0.01), broken(HeldWork, 0.019)}, []MechanismID{HeldWork, Membership}},
		"on a message's way, but not close":            {[]Answer{broken(Membership, 0.01), broken(HeldWork, 0.021)}, []MechanismID{Membership, HeldWork}},
		"close, both on the way, more rows":            {[]Answer{broken(HeldWork, 0.01), broken(OutageAlone, 0.015), another}, []MechanismID{OutageAlone, HeldWork}},
		"close, both on the way, as many rows":         {[]Answer{broken(HeldWork, 0.01), broken(OutageAlone, 0.015)}, []MechanismID{HeldWork, OutageAlone}},
		"the first of a mechanism's rows":              {[]Answer{broken(HeldWork, 0.5), broken(HeldWork, 0.01), broken(Sharing, 0.1)}, []MechanismID{HeldWork, Sharing}},
		"rows for information don't choose":            {[]Answer{notified, broken(Sharing, 0.1)}, []MechanismID{Sharing}},
		"close to the smallest left, not to the first": {[]Answer{broken(HeldWork, 0.01), broken(Membership, 0.018), broken(OutageAlone, 0.03)}, []MechanismID{HeldWork, OutageAlone, Membership}},
	} {
		if got := order(try.answers...); !slices.Equal(got, try.want) {
			t.Errorf("%s: %v, not %v", what, got, try.want)
		}
	}
}

// TestChoiceShowsAll: each mechanism is notified with its figures and a reason, also those without a share.
func TestChoiceShowsAll(t *testing.T) {
	candidates := Candidates([]Answer{broken(Membership, 0.01), broken(HeldWork, 0.019)})
	if len(candidates) != len(Mechanisms()) {
		t.Fatalf("%d candidates of %d mechanisms", len(candidates), len(Mechanisms()))
	}
	if why := candidates[0].Why; !strings.Contains(why, "on a message's way") || !strings.Contains(why, string(Membership)) {
		t.Errorf("chosen as %q", why)
	}
	for _, candidate := range candidates[2:] {
		if candidate.Share != nil || !strings.Contains(candidate.Why, "no place") {
			t.Errorf("%+v", candidate)
		}
	}
}

// TestRowsNameMechanisms: every row with a budget that takes part in the choice belongs to a mechanism, and every mechanism has a row.
func TestRowsNameMechanisms(t *testing.T) {
	rests := map[MechanismID]int{}
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
		if hasBudget := row.Budget != nil || row.CodeBound != nil; hasBudget && row.Reported == "" && !found {
			t.Errorf("%s: no mechanism is called %q", row.What, row.Mechanism)
		}
		rests[row.Mechanism]++
	}
	for _, mechanism := range Mechanisms() {
		if rests[mechanism.ID] == 0 {
			t.Errorf("no row rests on %s", mechanism.ID)
		}
	}
}

// TestTrialsMoveOnlyWhatIsAssumed: budgets that somebody stated stay in the trials.
func TestTrialsMoveOnlyWhatIsAssumed(t *testing.T) {
	plan := planned(t)
	other := plan.withBudgets(10)
	if other.Budget.Courier.StepSeconds != 10*plan.Budget.Courier.StepSeconds || other.Budget.Control != plan.Budget.Control ||
		other.Budget.Courier.ReadySeconds != plan.Budget.Courier.ReadySeconds || other.Traffic != plan.Traffic {
		t.Errorf("ten times as large: %+v", other)
	}
	if page := workedOut(t); len(page.Trials) != len(trialTimes) {
		t.Errorf("trials: %+v", page.Trials)
	}
}
