package modelcheck

import "testing"

func TestOrdersVisitsEverySequence(t *testing.T) {
	seen := map[[3]int]bool{}
	ForEachSequence(3, 4, func(sequence []int) bool {
		seen[[3]int(sequence)] = true
		return true
	})
	if n := 0; len(seen) != 64 {
		t.Errorf("visited %d of 64 sequences", len(seen))
	} else if ForEachSequence(3, 4, func([]int) bool { n++; return n < 5 }); n != 5 {
		t.Errorf("got %d visits, want 5: visit returned false at the fifth", n)
	}
}
