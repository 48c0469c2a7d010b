package capacity

import "reflect"

// perturbation is the factor applied to an assumed value to find the figures that depend on it.
const perturbation = 1.01

// assumedBehind returns the assumed keys of a plan that a figure depends on, that is, the keys whose perturbation changes the figure.
// Budgets do not occur among them as long as the figure does not read them.
func assumedBehind(plan *Plan, figure func(*Plan, *Derived) float64) (keys []string) {
	derived := Derive(plan)
	before := figure(plan, &derived)
	for _, key := range Keys() {
		if !plan.IsAssumed(key.Path) {
			continue
		}
		perturbed := *plan
		field := reflect.ValueOf(&perturbed).Elem().FieldByIndex(key.index)
		field.SetFloat(perturbation * field.Float())
		after := Derive(&perturbed)
		if figure(&perturbed, &after) != before {
			keys = append(keys, key.Path)
		}
	}
	return keys
}

// figureOf returns a function that reads the field of Derived with the given index.
func figureOf(index int) func(*Plan, *Derived) float64 {
	return func(_ *Plan, d *Derived) float64 { return reflect.ValueOf(d).Elem().Field(index).Float() }
}
