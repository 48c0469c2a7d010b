package scale

import (
	"fmt"
	"strings"
)

// Experiments returns all experiments in the order in which they are played.
func Experiments() []Experiment {
	return []Experiment{
		heldExperiment(),
		destinationsExperiment(),
		outageExperiment(),
		sharingExperiment(),
		changesExperiment(),
		couriersExperiment(),
		sideBySideExperiment(),
	}
}

// Find returns the experiment with the given name.
func Find(name string) (Experiment, error) {
	var names []string
	for _, experiment := range Experiments() {
		if experiment.Name == name {
			return experiment, nil
		}
		names = append(names, experiment.Name)
	}
	return Experiment{}, fmt.Errorf("unknown scale run %q, want one of: %s, all", name, strings.Join(names, ", "))
}
