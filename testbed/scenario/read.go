package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"pineport/config"
)

// FieldError is an error in the value of one key of a file.
type FieldError = config.Fault

// Load reads a scenario file.
func Load(path string) (*Definition, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Read(path, text)
}

// Read parses and checks a scenario. The returned error lists all errors of the file, each with file, line, key and the expected
// value.
func Read(file string, text []byte) (*Definition, error) {
	var d Definition
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return nil, decodeErrors(file, err)
	}
	c := &checker{file: file, lines: config.TOMLLines(text)}
	c.checkTable("", reflect.ValueOf(&d).Elem())
	c.checkConflicts(&d)
	return &d, errors.Join(c.errs...)
}

func decodeErrors(file string, err error) error {
	var strict *toml.StrictMissingError
	if !errors.As(err, &strict) {
		return config.TOMLFault(file, err)
	}
	var all []error
	for _, e := range strict.Errors {
		line, _ := e.Position()
		key := strings.Join(e.Key(), ".")
		all = append(all, FieldError{File: file, Line: line, Key: key, Problem: "no such key" + nearest(key)})
	}
	return errors.Join(all...)
}

// nearest suggests the known key that is most similar to an unknown one.
func nearest(key string) string {
	var known []string
	for _, k := range Keys() {
		known = append(known, k.Key)
	}
	if best := config.Nearest(key[strings.LastIndexByte(key, '.')+1:], known); best != "" {
		return fmt.Sprintf("; did you mean %q?", best)
	}
	return ""
}

// checker checks a scenario against the tags of its fields and sets defaults.
type checker struct {
	file  string
	lines map[string]int
	errs  []error
}

func (c *checker) addError(path, format string, args ...any) {
	c.errs = append(c.errs, FieldError{File: c.file, Line: config.LineOf(c.lines, path), Key: path, Problem: fmt.Sprintf(format, args...)})
}

func (c *checker) checkTable(path string, v reflect.Value) {
	for i := range v.NumField() {
		field, value := v.Type().Field(i), v.Field(i)
		at := strings.TrimPrefix(path+"."+field.Tag.Get("toml"), ".")
		switch {
		case value.Kind() == reflect.Struct:
			c.checkTable(at, value)
		case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct:
			for n := range value.Len() {
				c.checkTable(at+"."+strconv.Itoa(n), value.Index(n))
			}
		default:
			c.checkField(at, field.Tag, value)
		}
	}
}

func (c *checker) checkField(path string, tag reflect.StructTag, v reflect.Value) {
	if _, given := c.lines[path]; !given {
		def, ok := tag.Lookup("def")
		if !ok {
			c.addError(path, "must be given: %s", tag.Get("doc"))
			return
		}
		setDefault(v, def)
	}
	low, high, bounded := bounds(tag)
	allowed := strings.Split(tag.Get("one"), "|")
	inside := func(n float64) bool { return n >= low && n <= high }
	switch v.Kind() {
	case reflect.Float64:
		if n := v.Float(); bounded && !inside(n) {
			c.addError(path, "a number from %v to %v expected, got %v", low, high, n)
		}
	case reflect.Int, reflect.Int64:
		if n := v.Int(); bounded && !inside(float64(n)) {
			c.addError(path, "an integer from %v to %v expected, got %v", low, high, n)
		}
	case reflect.Array:
		a, b := number(v.Index(0)), number(v.Index(1))
		if bounded && !(inside(a) && inside(b)) || !(a <= b) {
			c.addError(path, "two numbers from %v to %v, the lower one first, expected, got [%v, %v]", low, high, a, b)
		}
	case reflect.String:
		if allowed[0] != "" && !slices.Contains(allowed, v.String()) {
			c.addError(path, "one of %s expected, got %q", strings.Join(allowed, ", "), v.String())
		} else if _, ok := tag.Lookup("def"); !ok && v.String() == "" {
			c.addError(path, "must not be empty: %s", tag.Get("doc"))
		}
	case reflect.Slice:
		for i := range v.Len() {
			if word := v.Index(i).String(); allowed[0] != "" && !slices.Contains(allowed, word) {
				c.addError(path, "values from the list %s expected, got %q", strings.Join(allowed, ", "), word)
			}
		}
	}
}

func number(v reflect.Value) float64 {
	if v.CanInt() {
		return float64(v.Int())
	}
	return v.Float()
}

func bounds(tag reflect.StructTag) (low, high float64, ok bool) {
	a, b, ok := strings.Cut(tag.Get("in"), "..")
	if ok {
		low, _ = strconv.ParseFloat(a, 64)
		high, _ = strconv.ParseFloat(b, 64)
	}
	return low, high, ok
}

// setDefault sets a field to its default.
func setDefault(v reflect.Value, def string) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(def)
	case reflect.Bool:
		v.SetBool(def == "true")
	case reflect.Float64:
		n, _ := strconv.ParseFloat(def, 64)
		v.SetFloat(n)
	case reflect.Int, reflect.Int64:
		n, _ := strconv.ParseInt(def, 10, 64)
		v.SetInt(n)
	case reflect.Array:
		for i, part := range strings.Split(strings.Trim(def, "[]"), ",") {
			setDefault(v.Index(i), part)
		}
	case reflect.Slice:
		if def != "" {
			v.Set(reflect.ValueOf(strings.Split(def, ",")))
		}
	}
}

// checkConflicts checks rules that involve several keys.
func (c *checker) checkConflicts(d *Definition) {
	if len(d.Kinds) == 0 {
		c.addError("kind", "at least one kind of destination is required")
	}
	if len(d.Classes) == 0 {
		c.addError("workload", "at least one message class ([[workload]]) is required")
	}
	kinds := map[string]bool{}
	for i, k := range d.Kinds {
		if kinds[k.Name] {
			c.addError(fmt.Sprintf("kind.%d.name", i), "another kind has the name %q", k.Name)
		}
		kinds[k.Name] = true
	}
	for i, w := range d.Classes {
		for _, k := range w.Kinds {
			if !kinds[k] {
				c.addError(fmt.Sprintf("workload.%d.kinds", i), "there is no kind %q", k)
			}
		}
		if w.Deadline < w.Objective {
			c.addError(fmt.Sprintf("workload.%d.cut_off_s", i), "must not be less than quoted_s (%v s)", w.Objective)
		}
	}
	for _, k := range d.Kinds {
		if !slices.ContainsFunc(d.Classes, func(w Class) bool { return len(w.Kinds) == 0 || slices.Contains(w.Kinds, k.Name) }) {
			c.addError("workload", "no message class ([[workload]]) includes the kind %q", k.Name)
		}
	}
	share := 0.0
	for _, p := range d.Tenants {
		share += p.Share
	}
	if share > 1.0001 {
		c.addError("party", "the sum of all shares must not exceed 1, got %v", share)
	}
	for i, t := range d.Faults {
		tenant := func(p Tenant) bool { return p.Name == t.Target }
		switch {
		case t.Kind == "flood" && (len(d.Tenants) > 0 || t.Target != "") && !slices.ContainsFunc(d.Tenants, tenant):
			c.addError(fmt.Sprintf("trouble.%d.of", i), "the name of a tenant ([[party]]) expected, got %q", t.Target)
		case t.Kind != "flood" && t.Target != "" && !kinds[t.Target]:
			c.addError(fmt.Sprintf("trouble.%d.of", i), "the name of a kind expected, got %q", t.Target)
		}
	}
	for _, k := range d.RandomFaults.Kinds {
		if _, ok := faultKinds[k]; !ok {
			c.addError("chance.kinds", "there is no kind of fault %q", k)
		}
	}
	if g := d.Goal; g.Overall+g.WorstWindow+g.WorstClass+g.WorstTenant <= 0 {
		c.addError("goal", "at least one weight must be above 0")
	}
}
