package scale

import (
	"fmt"
	"strings"
)

// Experiments are all scale runs, in the order in which they are played.
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

// Find returns the experiment of a name.
func Find(name string) (Experiment, error) {
	var names []string
	for _, experiment := range Experiments() {
		if experiment.Name == name {
			return experiment, nil
		}
		names = append(names, experiment.Name)
	}
	return Experiment{}, fmt.Errorf("no scale run has the name %q; there are %s, and all", name, strings.Join(names, ", "))
}
