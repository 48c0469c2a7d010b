// Package modelcheck generates sequences of steps for tests of code that performs no I/O: all sequences of one length, and long
// random ones from a seed.
package modelcheck

import "math/rand"

// ForEachSequence calls visit with every sequence of the given length, with repetition, over the step numbers 0 to choices-1, until
// visit returns false. All calls share one slice, which visit must not keep.
func ForEachSequence(length, choices int, visit func(sequence []int) bool) {
	sequence := make([]int, length)
	for {
		if !visit(sequence) {
			return
		}
		position := length - 1
		for ; position >= 0; position-- {
			if sequence[position]++; sequence[position] < choices {
				break
			}
			sequence[position] = 0
		}
		if position < 0 {
			return
		}
	}
}

// RandomSequence returns a random sequence of the given length over the step numbers 0 to choices-1. Equal seeds give equal sequences.
func RandomSequence(seed int64, length, choices int) []int {
	rng := rand.New(rand.NewSource(seed))
	sequence := make([]int, length)
	for i := range sequence {
		sequence[i] = rng.Intn(choices)
	}
	return sequence
}
