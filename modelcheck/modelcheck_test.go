package modelcheck

import "testing"

func TestOrdersAreAllAndOnce(t *testing.T) {
	seen := map[[3]int]bool{}
	ForEachSequence(3, 4, func(order []int) bool {
		seen[[3]int(order)] = true
		return true
	})
	if n := 0; len(seen) != 64 {
		t.Errorf("%d of 64 orders", len(seen))
	} else if ForEachSequence(3, 4, func([]int) bool { n++; return n < 5 }); n != 5 {
		t.Errorf("went on for %d", n)
	}
}
