package capacity

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
)

const plannedFile = "../../docs/capacity/plan.toml"

func plannedText(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(plannedFile)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func planned(t *testing.T) *Plan {
	t.Helper()
	plan, err := ReadPlan("plan.toml", []byte(plannedText(t)))
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

// lineOf finds the line on which a key of a table is given, from 1; 0 where it isn't.
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

// withLine is the text with the line of a key replaced.
func withLine(t *testing.T, text, path, line string) string {
	t.Helper()
	number := lineOf(text, path)
	if number == 0 {
		t.Fatalf("no line gives %s", path)
	}
	lines := strings.Split(text, "\n")
	for strings.HasSuffix(lines[number-1], "[") && lines[number] != "]" { // a list over several lines
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
	text, plan := plannedText(t), planned(t)
	for _, key := range Keys() {
		if lineOf(text, key.Path) == 0 {
			t.Errorf("%s is not in plan.toml", key.Path)
		}
		if key.Doc == "" || key.kind == reflect.Float64 && (key.Unit == "" || key.High <= key.Low) {
			t.Errorf("%s: doc, unit and bounds were expected: %+v", key.Path, key)
		}
	}
	if plan.Fleet.Couriers != 11000 || plan.Traffic.BacklogEvents != 190e9 || plan.Budget.Control.Cores != 0.019 || plan.Changes.PerDay != 58000 {
		t.Errorf("read as %+v", plan)
	}
}

// TestFaultyKeys: each key missing, of the wrong kind and out of its bounds is notified by file, line, key and what was expected.
func TestFaultyKeys(t *testing.T) {
	text := plannedText(t)
	for _, key := range Keys() {
		wrong := map[string]string{"= true": " was expected, not "}
		if key.kind == reflect.Float64 {
			bounds := fmt.Sprintf("a number from %v to %v was expected, not", key.Low, key.High)
			wrong = map[string]string{`= "many"`: bounds, fmt.Sprintf("= %v", -1-key.Low): bounds, fmt.Sprintf("= %v", 10*key.High): bounds, "= nan": bounds}
		}
		for value, expected := range wrong {
			_, err := ReadPlan("plan.toml", []byte(withLine(t, text, key.Path, nameOf(key.Path)+" "+value)))
			at := fmt.Sprintf("plan.toml:%d: %s: ", lineOf(text, key.Path), key.Path)
			if err == nil || !strings.Contains(err.Error(), at) || !strings.Contains(err.Error(), expected) {
				t.Errorf("%s %s: %v, not %s%s", key.Path, value, err, at, expected)
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
	text := plannedText(t)
	text = withLine(t, text, "fleet.couriers", "couriers = 0")
	text = withLine(t, text, "budget.control.cores", "cors = 0.019")
	text = withLine(t, text, "changes.per_day", `per_day = "58,000"`)
	text = withLine(t, text, "fleet.zones", "zones = 3")
	text = strings.Replace(text, `"traffic.call_s"`, `"traffic.nothing"`, 1)
	_, err := ReadPlan("plan.toml", []byte(text))
	if err == nil {
		t.Fatal("no fault was notified")
	}
	for _, want := range []string{
		"fleet.couriers: a number from 1 to 1e+07 was expected, not 0",
		`budget.control.cors: no such key; "budget.control.cores"?`,
		"budget.control.cores: must be given",
		"changes.per_day: a number from 0 to 1e+09 was expected, not \"58,000\"",
		"fleet.zones: at least as many as the 10 regions were expected, not 3",
		`assumed: the name of a key with a number was expected, not "traffic.nothing"`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not among the faults:\n%v", want, err)
		}
	}
	if lines := strings.Split(err.Error(), "\n"); len(lines) != 6 {
		t.Errorf("%d faults, not 6:\n%v", len(lines), err)
	}
}

func TestWhatNoSingleKeyShows(t *testing.T) {
	text := plannedText(t)
	for path, want := range map[string]string{
		"fleet.couriers = 24":                            "fleet.couriers: at least as many as the 25 zones were expected, not 24",
		"failures.rack_couriers = 12000":                 "failures.rack_couriers: at most the 11000 couriers were expected, not 12000",
		"failures.destinations_back_at_once = 9_000_000": "failures.destinations_back_at_once: at most the 3.6e+06 destinations were expected, not 9e+06",
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
	if _, err := ReadPlan("plan.toml", []byte("fleet = 3\n")); err == nil || !strings.Contains(err.Error(), "fleet: no such key") ||
		!strings.Contains(err.Error(), "fleet.couriers: must be given") {
		t.Errorf("a number in place of a table: %v", err)
	}
}
