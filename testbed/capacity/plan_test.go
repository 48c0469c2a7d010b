package capacity

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
)

const examplePlanFile = "../../docs/capacity/plan.toml"

func examplePlanText(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(examplePlanFile)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func examplePlan(t *testing.T) *Plan {
	t.Helper()
	plan, err := ReadPlan("plan.toml", []byte(examplePlanText(t)))
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

// lineOf returns the number of the line that sets a key, counted from 1, or 0 if there is none.
func lineOf(text, path string) int {
	table, name := "", path
	if dot := strings.LastIndexByte(path, '.'); dot >= 0 {
		table, name = path[:dot], path[dot+1:]
	}
	at := ""
	for i, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "[") {
			at = strings.Trim(line, "[]")
		}
		if at == table && strings.HasPrefix(line, name+" =") {
			return i + 1
		}
	}
	return 0
}

// withLine returns the text with the line of a key replaced.
func withLine(t *testing.T, text, path, line string) string {
	t.Helper()
	number := lineOf(text, path)
	if number == 0 {
		t.Fatalf("no line sets %s", path)
	}
	lines := strings.Split(text, "\n")
	for strings.HasSuffix(lines[number-1], "[") && lines[number] != "]" { // removes the other lines of a list
		lines = slices.Delete(lines, number, number+1)
	}
	if strings.HasSuffix(lines[number-1], "[") {
		lines = slices.Delete(lines, number, number+1)
	}
	lines[number-1] = line
	return strings.Join(lines, "\n")
}

func nameOf(path string) string { return path[strings.LastIndexByte(path, '.')+1:] }

func TestPlanGivesEveryKey(t *testing.T) {
	text, plan := examplePlanText(t), examplePlan(t)
	for _, key := range Keys() {
		if lineOf(text, key.Path) == 0 {
			t.Errorf("%s is not in plan.toml", key.Path)
		}
		if key.Doc == "" || key.kind == reflect.Float64 && (key.Unit == "" || key.High <= key.Low) {
			t.Errorf("%s: doc, unit or bounds are missing: %+v", key.Path, key)
		}
	}
	if plan.Fleet.Couriers != 11000 || plan.Traffic.BacklogEvents != 190e9 || plan.Budget.Control.Cores != 0.019 || plan.Changes.PerDay != 58000 {
		t.Errorf("unexpected values: %+v", plan)
	}
}

// TestFaultyKeys checks that each key that is missing, of the wrong type or out of bounds is reported with file, line, key and the expected
// value.
func TestFaultyKeys(t *testing.T) {
	text := examplePlanText(t)
	for _, key := range Keys() {
		wrong := map[string]string{"= true": ", got true: "}
		if key.kind == reflect.Float64 {
			bounds := fmt.Sprintf("expected a number from %v to %v, got", key.Low, key.High)
			wrong = map[string]string{`= "many"`: bounds, fmt.Sprintf("= %v", -1-key.Low): bounds, fmt.Sprintf("= %v", 10*key.High): bounds, "= nan": bounds}
		}
		for value, expected := range wrong {
			_, err := ReadPlan("plan.toml", []byte(withLine(t, text, key.Path, nameOf(key.Path)+" "+value)))
			at := fmt.Sprintf("plan.toml:%d: %s: ", lineOf(text, key.Path), key.Path)
			if err == nil || !strings.Contains(err.Error(), at) || !strings.Contains(err.Error(), expected) {
				t.Errorf("%s %s: error %v, want %s%s", key.Path, value, err, at, expected)
			}
		}
		_, err := ReadPlan("plan.toml", []byte(withLine(t, text, key.Path, "")))
		if key.Optional {
			if err != nil {
				t.Errorf("%s left out: %v", key.Path, err)
			}
		} else if err == nil || !strings.Contains(err.Error(), key.Path+": must be given: "+key.Doc) {
			t.Errorf("%s left out: %v", key.Path, err)
		}
	}
}

func TestAllFaultsAtOnce(t *testing.T) {
	text := examplePlanText(t)
	text = withLine(t, text, "fleet.couriers", "couriers = 0")
	text = withLine(t, text, "budget.control.cores", "cors = 0.019")
	text = withLine(t, text, "changes.per_day", `per_day = "58,000"`)
	text = withLine(t, text, "fleet.zones", "zones = 3")
	text = strings.Replace(text, `"traffic.call_s"`, `"traffic.nothing"`, 1)
	_, err := ReadPlan("plan.toml", []byte(text))
	if err == nil {
		t.Fatal("no fault was reported")
	}
	for _, want := range []string{
		"fleet.couriers: expected a number from 1 to 1e+07, got 0",
		`budget.control.cors: unknown key; did you mean "budget.control.cores"?`,
		"budget.control.cores: must be given",
		"changes.per_day: expected a number from 0 to 1e+09, got \"58,000\"",
		"fleet.zones: expected at least as many zones as regions (10), got 3",
		`assumed: expected the name of a numeric key, got "traffic.nothing"`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not among the faults:\n%v", want, err)
		}
	}
	if lines := strings.Split(err.Error(), "\n"); len(lines) != 6 {
		t.Errorf("%d faults, want 6:\n%v", len(lines), err)
	}
}

func TestFaultyCombinationsOfKeys(t *testing.T) {
	text := examplePlanText(t)
	for path, want := range map[string]string{
		"fleet.couriers = 24":                            "fleet.couriers: expected at least as many couriers as zones (25), got 24",
		"failures.rack_couriers = 12000":                 "failures.rack_couriers: expected at most the number of couriers (11000), got 12000",
		"failures.destinations_back_at_once = 9_000_000": "failures.destinations_back_at_once: expected at most the number of destinations (3.6e+06), got 9e+06",
	} {
		key, value, _ := strings.Cut(path, " ")
		_, err := ReadPlan("plan.toml", []byte(withLine(t, text, key, nameOf(key)+" "+value)))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", path, err)
		}
	}
}

func TestSyntaxErrorsAreReported(t *testing.T) {
	_, err := ReadPlan("plan.toml", []byte("name = \"x\"\n[fleet\n"))
	if err == nil || !strings.Contains(err.Error(), "plan.toml:2") {
		t.Errorf("%v", err)
	}
	if _, err := ReadPlan("plan.toml", []byte("fleet = 3\n")); err == nil || !strings.Contains(err.Error(), "fleet: unknown key") ||
		!strings.Contains(err.Error(), "fleet.couriers: must be given") {
		t.Errorf("a number instead of a table: %v", err)
	}
}
