package capacity

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"pineport/config"
)

// Fault is an error in one key of a plan.
type Fault = config.Fault

// Key describes one key of a plan file.
type Key struct {
	Path      string // as in plan.toml, with dots
	Doc, Unit string
	Low, High float64 // inclusive bounds of a numeric value
	Optional  bool
	kind      reflect.Kind
	index     []int
}

const stringList = reflect.Slice

// Keys returns all keys of a plan, in the order of the fields of Plan.
func Keys() []Key { return keysOf("", nil, false, reflect.TypeFor[Plan]()) }

func keysOf(table string, index []int, optional bool, structure reflect.Type) (all []Key) {
	for i := range structure.NumField() {
		field := structure.Field(i)
		path := strings.TrimPrefix(table+"."+field.Tag.Get("toml"), ".")
		fieldIndex := append(slices.Clone(index), i)
		if field.Type.Kind() == reflect.Struct {
			all = append(all, keysOf(path, fieldIndex, field.Tag.Get("optional") != "", field.Type)...)
			continue
		}
		low, high, _ := strings.Cut(field.Tag.Get("in"), "..")
		key := Key{Path: path, Doc: field.Tag.Get("doc"), Unit: field.Tag.Get("unit"), Optional: optional, kind: field.Type.Kind(), index: fieldIndex}
		key.Low, _ = strconv.ParseFloat(low, 64)
		key.High, _ = strconv.ParseFloat(high, 64)
		all = append(all, key)
	}
	return all
}

// Number returns the value of a numeric key.
func (p *Plan) Number(key Key) float64 {
	return reflect.ValueOf(p).Elem().FieldByIndex(key.index).Float()
}

// IsAssumed reports whether the value of a key is an assumption.
func (p *Plan) IsAssumed(path string) bool { return slices.Contains(p.Assumed, path) }

// ReadPlan parses and validates a plan. Its error lists all faults of the file, each with file, line, key and the expected value.
func ReadPlan(file string, text []byte) (*Plan, error) {
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return nil, config.TOMLFault(file, err)
	}
	reader := planReader{file: file, lines: config.TOMLLines(text), given: map[string]any{}}
	reader.flatten("", tree)
	plan := &Plan{}
	known := Keys()
	for _, key := range known {
		reader.set(plan, key)
	}
	reader.reportUnknownKeys(known)
	reader.checkAssumed(plan, known)
	reader.checkCombinations(plan)
	return plan, reader.err()
}

// planReader validates the values of a plan file against the tags of Plan and collects the faults.
type planReader struct {
	file   string
	lines  map[string]int
	given  map[string]any // values by path, without tables
	faults []Fault
}

func (r *planReader) flatten(table string, tree map[string]any) {
	for name, value := range tree {
		path := strings.TrimPrefix(table+"."+name, ".")
		if inner, isTable := value.(map[string]any); isTable {
			r.flatten(path, inner)
			continue
		}
		r.given[path] = value
	}
}

func (r *planReader) fault(path, format string, args ...any) {
	r.faults = append(r.faults, Fault{File: r.file, Line: config.LineOf(r.lines, path), Key: path, Problem: fmt.Sprintf(format, args...)})
}

// set stores the value of one key in the plan, or records a fault.
func (r *planReader) set(plan *Plan, key Key) {
	value, given := r.given[key.Path]
	if !given {
		if !key.Optional {
			r.fault(key.Path, "must be given: %s", describe(key))
		}
		return
	}
	field := reflect.ValueOf(plan).Elem().FieldByIndex(key.index)
	switch key.kind {
	case reflect.Float64:
		if number, ok := r.number(key, value); ok {
			field.SetFloat(number)
		}
	case reflect.String:
		text, ok := value.(string)
		if !ok || text == "" {
			r.fault(key.Path, "expected a text, got %v: %s", value, key.Doc)
			return
		}
		field.SetString(text)
	case stringList:
		if words, ok := r.stringsOf(key, value); ok {
			field.Set(reflect.ValueOf(words))
		}
	}
}

func describe(key Key) string {
	if key.Unit == "" {
		return key.Doc
	}
	return key.Doc + ", in " + key.Unit
}

func (r *planReader) number(key Key, value any) (float64, bool) {
	var number float64
	switch v := value.(type) {
	case int64:
		number = float64(v)
	case float64:
		number = v
	default:
		r.fault(key.Path, "expected a number from %v to %v, got %q: %s", key.Low, key.High, fmt.Sprint(value), describe(key))
		return 0, false
	}
	if math.IsNaN(number) || number < key.Low || number > key.High {
		r.fault(key.Path, "expected a number from %v to %v, got %v: %s", key.Low, key.High, number, describe(key))
		return 0, false
	}
	return number, true
}

func (r *planReader) stringsOf(key Key, value any) (words []string, ok bool) {
	list, ok := value.([]any)
	for _, item := range list {
		word, isText := item.(string)
		ok = ok && isText
		words = append(words, word)
	}
	if !ok {
		r.fault(key.Path, "expected a list of texts, got %v: %s", value, key.Doc)
	}
	return words, ok
}

// reportUnknownKeys records a fault for each key that a plan does not have.
func (r *planReader) reportUnknownKeys(known []Key) {
	var names []string
	isKnown := map[string]bool{}
	for _, key := range known {
		names = append(names, key.Path)
		isKnown[key.Path] = true
	}
	for path := range r.given {
		if isKnown[path] {
			continue
		}
		text := "unknown key"
		if nearest := config.Nearest(path, names); nearest != "" {
			text += fmt.Sprintf("; did you mean %q?", nearest)
		}
		r.fault(path, "%s", text)
	}
}

// checkAssumed records a fault for each entry of the assumed list that is not a numeric key of the plan.
func (r *planReader) checkAssumed(plan *Plan, known []Key) {
	for _, path := range plan.Assumed {
		isNumber := func(key Key) bool { return key.Path == path && key.kind == reflect.Float64 }
		if !slices.ContainsFunc(known, isNumber) {
			r.fault("assumed", "expected the name of a numeric key, got %q", path)
		}
	}
}

// checkCombinations records faults that involve more than one key.
func (r *planReader) checkCombinations(plan *Plan) {
	if plan.Fleet.Zones > 0 && plan.Fleet.Zones < plan.Fleet.Regions {
		r.fault("fleet.zones", "expected at least as many zones as regions (%v), got %v", plan.Fleet.Regions, plan.Fleet.Zones)
	}
	if plan.Fleet.Couriers > 0 && plan.Fleet.Couriers < plan.Fleet.Zones {
		r.fault("fleet.couriers", "expected at least as many couriers as zones (%v), got %v", plan.Fleet.Zones, plan.Fleet.Couriers)
	}
	if plan.Failures.RackCouriers > plan.Fleet.Couriers && plan.Fleet.Couriers > 0 {
		r.fault("failures.rack_couriers", "expected at most the number of couriers (%v), got %v", plan.Fleet.Couriers, plan.Failures.RackCouriers)
	}
	if plan.Failures.DestinationsBackAtOnce > plan.Traffic.Destinations && plan.Traffic.Destinations > 0 {
		r.fault("failures.destinations_back_at_once", "expected at most the number of destinations (%v), got %v", plan.Traffic.Destinations,
			plan.Failures.DestinationsBackAtOnce)
	}
}

// err returns all faults joined in the order of their lines, or nil.
func (r *planReader) err() error {
	slices.SortStableFunc(r.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Problem, b.Problem))
	})
	var all []error
	for _, fault := range r.faults {
		all = append(all, fault)
	}
	return errors.Join(all...)
}
