package capacity

import (
	"reflect"
	"strings"
)

// Figure is one field of Derived with its name, description and unit.
type Figure struct {
	Name, Doc, Unit string
	Value           float64
}

// Figures returns all fields of Derived, in order.
func (d *Derived) Figures() (all []Figure) {
	value := reflect.ValueOf(d).Elem()
	for i := range value.NumField() {
		tag := value.Type().Field(i).Tag
		all = append(all, Figure{Name: tag.Get("json"), Doc: tag.Get("doc"), Unit: tag.Get("unit"), Value: value.Field(i).Float()})
	}
	return all
}

func figuresOf(d *Derived) map[string]Figure {
	all := map[string]Figure{}
	for _, figure := range d.Figures() {
		all[figure.Name] = figure
	}
	return all
}

// statedName returns the name of the Derived figure that a key of the plan's table "stated" gives as calculated by hand.
// It returns false for a key of any other table.
func statedName(key Key) (name string, ok bool) { return strings.CutPrefix(key.Path, "stated.") }
