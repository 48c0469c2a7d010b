package modelcheck

import "testing"

func TestEverySequenceIsVisitedOnce(t *testing.T) {
	seen := map[[3]int]bool{}
	Orders(3, 4, func(sequence []int) bool {
		seen[[3]int(sequence)] = true
		return true
	})
	if n := 0; len(seen) != 64 {
		t.Errorf("visited %d of 64 sequences", len(seen))
	} else if Orders(3, 4, func([]int) bool { n++; return n < 5 }); n != 5 {
		t.Errorf("visited %d sequences; visit ended the run after 5", n)
	}
}
