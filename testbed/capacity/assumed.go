package capacity

import "reflect"

// nudge is how far an assumed figure is moved to see what rests on it.
const nudge = 1.01

// assumedBehind are the assumed keys of a plan, budgets apart, on which a figure rests: those that move it when they are moved.
func assumedBehind(plan *Plan, figure func(*Plan, *Derived) float64) (keys []string) {
	derived := Derive(plan)
	before := figure(plan, &derived)
	for _, key := range Keys() {
		if !plan.IsAssumed(key.Path) {
			continue
		}
		moved := *plan
		field := reflect.ValueOf(&moved).Elem().FieldByIndex(key.index)
		field.SetFloat(nudge * field.Float())
		after := Derive(&moved)
		if figure(&moved, &after) != before {
			keys = append(keys, key.Path)
		}
	}
	return keys
}

// figureOf picks a figure of the arithmetic by its place.
func figureOf(index int) func(*Plan, *Derived) float64 {
	return func(_ *Plan, d *Derived) float64 { return reflect.ValueOf(d).Elem().Field(index).Float() }
}
