// Package modelcheck plays orders of events against modules that hold no I/O: every order up to a depth, and long ones drawn from a seed.
package modelcheck

import "math/rand"

// ForEachSequence has do play every order of depth steps out of so many, until it returns false. The slice is the same each time.
func ForEachSequence(depth, steps int, do func(order []int) bool) {
	order := make([]int, depth)
	for {
		if !do(order) {
			return
		}
		at := depth - 1
		for ; at >= 0; at-- {
			if order[at]++; order[at] < steps {
				break
			}
			order[at] = 0
		}
		if at < 0 {
			return
		}
	}
}

// RandomSequence is an order of so many steps, the same for the same seed.
func RandomSequence(seed int64, length, steps int) []int {
	rng := rand.New(rand.NewSource(seed))
	order := make([]int, length)
	for i := range order {
		order[i] = rng.Intn(steps)
	}
	return order
}
