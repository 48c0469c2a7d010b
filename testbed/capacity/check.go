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

// Fault is what is wrong with one key of a plan.
type Fault = config.Fault

// Key is one key of a plan's file.
type Key struct {
	Path      string // as plan.toml spells it, with dots
	Doc, Unit string
	Low, High float64 // of a number
	Optional  bool
	kind      reflect.Kind
	index     []int
}

const stringList = reflect.Slice

// Keys lists all keys of a plan, in the order of the file.
func Keys() []Key { return keysOf("", nil, false, reflect.TypeFor[Plan]()) }

func keysOf(table string, index []int, optional bool, structure reflect.Type) (all []Key) {
	for i := range structure.NumField() {
		field := structure.Field(i)
		path := strings.TrimPrefix(table+"."+field.Tag.Get("toml"), ".")
		at := append(slices.Clone(index), i)
		if field.Type.Kind() == reflect.Struct {
			all = append(all, keysOf(path, at, field.Tag.Get("optional") != "", field.Type)...)
			continue
		}
		low, high, _ := strings.Cut(field.Tag.Get("in"), "..")
		key := Key{Path: path, Doc: field.Tag.Get("doc"), Unit: field.Tag.Get("unit"), Optional: optional, kind: field.Type.Kind(), index: at}
		key.Low, _ = strconv.ParseFloat(low, 64)
		key.High, _ = strconv.ParseFloat(high, 64)
		all = append(all, key)
	}
	return all
}

// Number is the figure that a plan gives for a key that is a number.
func (p *Plan) Number(key Key) float64 {
	return reflect.ValueOf(p).Elem().FieldByIndex(key.index).Float()
}

// IsAssumed tells whether nobody stated the figure of a key.
func (p *Plan) IsAssumed(path string) bool { return slices.Contains(p.Assumed, path) }

// ReadPlan reads a plan; all faults of it are notified at once, each with file, line, key and what was expected.
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
		reader.take(plan, key)
	}
	reader.strange(known)
	reader.assumptions(plan, known)
	reader.together(plan)
	return plan, reader.err()
}

// planReader holds the values of a file against the schema.
type planReader struct {
	file   string
	lines  map[string]int
	given  map[string]any // by path; tables are not in it
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

// take puts one value into the plan, or tells what was expected.
func (r *planReader) take(plan *Plan, key Key) {
	value, given := r.given[key.Path]
	if !given {
		if !key.Optional {
			r.fault(key.Path, "must be given: %s", described(key))
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
			r.fault(key.Path, "a text was expected, not %v: %s", value, key.Doc)
			return
		}
		field.SetString(text)
	case stringList:
		if words, ok := r.words(key, value); ok {
			field.Set(reflect.ValueOf(words))
		}
	}
}

func described(key Key) string {
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
		r.fault(key.Path, "a number from %v to %v was expected, not %q: %s", key.Low, key.High, fmt.Sprint(value), described(key))
		return 0, false
	}
	if math.IsNaN(number) || number < key.Low || number > key.High {
		r.fault(key.Path, "a number from %v to %v was expected, not %v: %s", key.Low, key.High, number, described(key))
		return 0, false
	}
	return number, true
}

func (r *planReader) words(key Key, value any) (words []string, ok bool) {
	list, ok := value.([]any)
	for _, item := range list {
		word, isText := item.(string)
		ok = ok && isText
		words = append(words, word)
	}
	if !ok {
		r.fault(key.Path, "a list of texts was expected, not %v: %s", value, key.Doc)
	}
	return words, ok
}

// strange tells of keys that no plan has.
func (r *planReader) strange(known []Key) {
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
		text := "no such key"
		if nearest := config.Nearest(path, names); nearest != "" {
			text += fmt.Sprintf("; %q?", nearest)
		}
		r.fault(path, "%s", text)
	}
}

// assumptions checks that what is assumed names numbers of the plan.
func (r *planReader) assumptions(plan *Plan, known []Key) {
	for _, path := range plan.Assumed {
		isNumber := func(key Key) bool { return key.Path == path && key.kind == reflect.Float64 }
		if !slices.ContainsFunc(known, isNumber) {
			r.fault("assumed", "the name of a key with a number was expected, not %q", path)
		}
	}
}

// together checks what no single key shows.
func (r *planReader) together(plan *Plan) {
	if plan.Fleet.Zones > 0 && plan.Fleet.Zones < plan.Fleet.Regions {
		r.fault("fleet.zones", "at least as many as the %v regions were expected, not %v", plan.Fleet.Regions, plan.Fleet.Zones)
	}
	if plan.Fleet.Couriers > 0 && plan.Fleet.Couriers < plan.Fleet.Zones {
		r.fault("fleet.couriers", "at least as many as the %v zones were expected, not %v", plan.Fleet.Zones, plan.Fleet.Couriers)
	}
	if plan.Failures.RackCouriers > plan.Fleet.Couriers && plan.Fleet.Couriers > 0 {
		r.fault("failures.rack_couriers", "at most the %v couriers were expected, not %v", plan.Fleet.Couriers, plan.Failures.RackCouriers)
	}
	if plan.Failures.DestinationsBackAtOnce > plan.Traffic.Destinations && plan.Traffic.Destinations > 0 {
		r.fault("failures.destinations_back_at_once", "at most the %v destinations were expected, not %v", plan.Traffic.Destinations,
			plan.Failures.DestinationsBackAtOnce)
	}
}

// err is all faults in the order of their lines.
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
