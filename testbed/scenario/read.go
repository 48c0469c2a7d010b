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

// Fault is what is wrong with one key of a file.
type Fault = config.Fault

// Load reads a day's file.
func Load(path string) (*Definition, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Read(path, text)
}

// Read reads a day; all faults of it are notified at once, each with file, line, key and what was expected.
func Read(file string, text []byte) (*Definition, error) {
	var d Definition
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return nil, decodeFaults(file, err)
	}
	c := &checker{file: file, lines: config.TOMLLines(text)}
	c.table("", reflect.ValueOf(&d).Elem())
	c.whole(&d)
	return &d, errors.Join(c.faults...)
}

func decodeFaults(file string, err error) error {
	var strict *toml.StrictMissingError
	if !errors.As(err, &strict) {
		return config.TOMLFault(file, err)
	}
	var all []error
	for _, e := range strict.Errors {
		line, _ := e.Position()
		key := strings.Join(e.Key(), ".")
		all = append(all, Fault{File: file, Line: line, Key: key, Problem: "no such key" + nearest(key)})
	}
	return errors.Join(all...)
}

// nearest proposes the known key that has most in common with a strange one.
func nearest(key string) string {
	var known []string
	for _, k := range Keys() {
		known = append(known, k.Key)
	}
	if best := config.Nearest(key[strings.LastIndexByte(key, '.')+1:], known); best != "" {
		return fmt.Sprintf("; %q?", best)
	}
	return ""
}

// checker holds a day against the tags of its fields, and gives defaults.
type checker struct {
	file   string
	lines  map[string]int
	faults []error
}

func (c *checker) fault(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{File: c.file, Line: config.LineOf(c.lines, path), Key: path, Problem: fmt.Sprintf(format, args...)})
}

func (c *checker) table(path string, v reflect.Value) {
	for i := range v.NumField() {
		field, value := v.Type().Field(i), v.Field(i)
		at := strings.TrimPrefix(path+"."+field.Tag.Get("toml"), ".")
		switch {
		case value.Kind() == reflect.Struct:
			c.table(at, value)
		case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct:
			for n := range value.Len() {
				c.table(at+"."+strconv.Itoa(n), value.Index(n))
			}
		default:
			c.field(at, field.Tag, value)
		}
	}
}

func (c *checker) field(path string, tag reflect.StructTag, v reflect.Value) {
	if _, given := c.lines[path]; !given {
		def, ok := tag.Lookup("def")
		if !ok {
			c.fault(path, "must be given: %s", tag.Get("doc"))
			return
		}
		preset(v, def)
	}
	low, high, bounded := bounds(tag)
	words := strings.Split(tag.Get("one"), "|")
	inside := func(n float64) bool { return n >= low && n <= high }
	switch v.Kind() {
	case reflect.Float64:
		if n := v.Float(); bounded && !inside(n) {
			c.fault(path, "a number from %v to %v was expected, not %v", low, high, n)
		}
	case reflect.Int, reflect.Int64:
		if n := v.Int(); bounded && !inside(float64(n)) {
			c.fault(path, "a count from %v to %v was expected, not %v", low, high, n)
		}
	case reflect.Array:
		a, b := number(v.Index(0)), number(v.Index(1))
		if bounded && !(inside(a) && inside(b)) || !(a <= b) {
			c.fault(path, "two numbers from %v to %v, the lower first, were expected, not [%v, %v]", low, high, a, b)
		}
	case reflect.String:
		if words[0] != "" && !slices.Contains(words, v.String()) {
			c.fault(path, "one of %s was expected, not %q", strings.Join(words, ", "), v.String())
		} else if _, ok := tag.Lookup("def"); !ok && v.String() == "" {
			c.fault(path, "must not be empty: %s", tag.Get("doc"))
		}
	case reflect.Slice:
		for i := range v.Len() {
			if word := v.Index(i).String(); words[0] != "" && !slices.Contains(words, word) {
				c.fault(path, "words out of %s were expected, not %q", strings.Join(words, ", "), word)
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

// preset gives a field its default.
func preset(v reflect.Value, def string) {
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
			preset(v.Index(i), part)
		}
	case reflect.Slice:
		if def != "" {
			v.Set(reflect.ValueOf(strings.Split(def, ",")))
		}
	}
}

// whole checks what no single key shows.
func (c *checker) whole(d *Definition) {
	if len(d.Kinds) == 0 {
		c.fault("kind", "at least one kind of destination was expected")
	}
	if len(d.Classes) == 0 {
		c.fault("workload", "at least one workload was expected")
	}
	kinds := map[string]bool{}
	for i, k := range d.Kinds {
		if kinds[k.Name] {
			c.fault(fmt.Sprintf("kind.%d.name", i), "another kind has the name %q", k.Name)
		}
		kinds[k.Name] = true
	}
	for i, w := range d.Classes {
		for _, k := range w.Kinds {
			if !kinds[k] {
				c.fault(fmt.Sprintf("workload.%d.kinds", i), "no kind has the name %q", k)
			}
		}
		if w.Deadline < w.Objective {
			c.fault(fmt.Sprintf("workload.%d.cut_off_s", i), "not before the quoted time of %v s", w.Objective)
		}
	}
	for _, k := range d.Kinds {
		if !slices.ContainsFunc(d.Classes, func(w Class) bool { return len(w.Kinds) == 0 || slices.Contains(w.Kinds, k.Name) }) {
			c.fault("workload", "none goes to the kind %q", k.Name)
		}
	}
	share := 0.0
	for _, p := range d.Tenants {
		share += p.Share
	}
	if share > 1.0001 {
		c.fault("party", "shares of 1 at most together were expected, not %v", share)
	}
	for i, t := range d.Faults {
		tenant := func(p Tenant) bool { return p.Name == t.Of }
		switch {
		case t.Kind == "flood" && (len(d.Tenants) > 0 || t.Of != "") && !slices.ContainsFunc(d.Tenants, tenant):
			c.fault(fmt.Sprintf("trouble.%d.of", i), "the name of a party was expected, not %q", t.Of)
		case t.Kind != "flood" && t.Of != "" && !kinds[t.Of]:
			c.fault(fmt.Sprintf("trouble.%d.of", i), "the name of a kind was expected, not %q", t.Of)
		}
	}
	for _, k := range d.RandomFaults.Kinds {
		if _, ok := usual[k]; !ok {
			c.fault("chance.kinds", "no trouble has the name %q", k)
		}
	}
	if g := d.Goal; g.Overall+g.WorstWindow+g.Class+g.Tenant <= 0 {
		c.fault("goal", "a weight above 0 was expected")
	}
}
