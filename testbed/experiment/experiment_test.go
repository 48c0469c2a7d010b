package experiment

import (
	"context"
	"strings"
	"testing"

	"pineport/testbed/invariants"
	"pineport/testbed/scenario"
)

func TestVariants(t *testing.T) {
	for text, name := range map[string]string{"module": "module", "baseline:once": "baseline:once", "old=wire:/bin/x -y": "old",
		"wire:/a/b --k=v": "wire:/a/b --k=v"} {
		if v, err := Parse(text); err != nil || v.Name != name {
			t.Errorf("%s: %+v, %v", text, v, err)
		}
	}
	for _, text := range []string{"", "modul", "baseline:best"} {
		if _, err := Parse(text); err == nil {
			t.Errorf("%q was taken", text)
		}
	}
}

// TestPairsAndIntervals: the module against itself differs by nothing; against a plain policy by what is surely not chance.
func TestPairsAndIntervals(t *testing.T) {
	d, err := scenario.Find("silent-and-cold")
	if err != nil {
		t.Fatal(err)
	}
	plan := Plan{Days: []*scenario.Definition{d}, Seeds: []int64{1, 2, 3, 4}, Jobs: 4}
	for _, text := range []string{"module", "same=module:", "baseline:once"} {
		v, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		plan.Variants = append(plan.Variants, v)
	}
	cells, err := Run(context.Background(), plan)
	if err != nil {
		t.Fatal(err)
	}
	rows := Compare(cells, "module", func(v *invariants.Verdict) float64 { return v.Overall })
	for _, r := range rows {
		switch r.Variant {
		case "same":
			if r.Diff != 0 || r.Low != 0 || r.High != 0 || r.Pairs != 4 {
				t.Errorf("%+v", r)
			}
		default:
			if !(r.High < 0) || !(r.Low <= r.Diff && r.Diff <= r.High) {
				t.Errorf("%+v", r)
			}
		}
	}
	dir := t.TempDir()
	if err := Write(dir, cells, rows); err != nil {
		t.Fatal(err)
	}
	back, err := ReadCells(dir)
	if err != nil || len(back) != len(cells) || back[1].Verdict.Score != cells[1].Verdict.Score {
		t.Errorf("%v", err)
	}
	if _, err := ReadCells(dir + "/none"); err == nil || !strings.Contains(err.Error(), "none") {
		t.Errorf("%v", err)
	}
}
