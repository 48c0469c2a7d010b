package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"go.yaml.in/yaml/v3"
)

// Fault is what is wrong with one key of a file.
type Fault struct {
	File    string
	Line    int // 0 where none is known
	Key     string
	Problem string
}

func (f Fault) Error() string {
	at := f.File
	if at == "" {
		return f.Key + ": " + f.Problem
	}
	if f.Line > 0 {
		at += ":" + strconv.Itoa(f.Line)
	}
	if f.Key == "" {
		return fmt.Sprintf("%s: %s", at, f.Problem)
	}
	return fmt.Sprintf("%s: %s: %s", at, f.Key, f.Problem)
}

// decode reads a file by its name's ending: TOML, YAML, or else JSON. It returns the tree, the line of each key by its
// path, and the list of endpoints as JSON.
func decode(file string, text []byte) (tree map[string]any, lines map[string]int, known json.RawMessage, err error) {
	switch strings.ToLower(filepath.Ext(file)) {
	case ".toml":
		tree, lines, err = decodeTOML(text)
	case ".yaml", ".yml":
		tree, lines, err = decodeYAML(text)
	default:
		tree, lines, err = decodeJSON(text)
	}
	if err == nil && tree["known"] != nil {
		known, err = json.Marshal(tree["known"])
		delete(tree, "known")
	}
	return tree, lines, known, err
}

func decodeJSON(text []byte) (tree map[string]any, lines map[string]int, err error) {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber()
	if err := dec.Decode(&tree); err != nil {
		var syntax *json.SyntaxError
		line := 0
		if errors.As(err, &syntax) {
			line = 1 + bytes.Count(text[:min(int(syntax.Offset), len(text))], []byte("\n"))
		}
		return nil, nil, Fault{Line: line, Problem: "not a JSON object: " + err.Error()}
	}
	if dec.More() {
		return nil, nil, Fault{Problem: "something stands after the JSON object"}
	}
	return tree, jsonLines(text), nil
}

// jsonLines walks the tokens of a text that is known to be sound.
func jsonLines(text []byte) map[string]int {
	lines := map[string]int{}
	dec := json.NewDecoder(bytes.NewReader(text))
	line, counted := 1, 0
	here := func() int {
		to := min(int(dec.InputOffset()), len(text))
		line += bytes.Count(text[counted:to], []byte("\n"))
		counted = to
		return line
	}
	var walk func(path string)
	walk = func(path string) {
		token, err := dec.Token()
		if err != nil {
			return
		}
		switch token {
		case json.Delim('{'):
			for dec.More() {
				key, err := dec.Token()
				if err != nil {
					return
				}
				inner := strings.TrimPrefix(path+"."+fmt.Sprint(key), ".")
				lines[inner] = here()
				walk(inner)
			}
			dec.Token()
		case json.Delim('['):
			for i := 0; dec.More(); i++ {
				walk(path + "." + strconv.Itoa(i))
			}
			dec.Token()
		}
	}
	walk("")
	return lines
}

func decodeTOML(text []byte) (tree map[string]any, lines map[string]int, err error) {
	if err := toml.Unmarshal(text, &tree); err != nil {
		return nil, nil, TOMLFault("", err)
	}
	return tree, TOMLLines(text), nil
}

// TOMLLines tells on which line each key of a TOML text stands, by its path; tables of a list are numbered from 0.
func TOMLLines(text []byte) map[string]int {
	at, table, count := map[string]int{}, "", map[string]int{}
	var p unstable.Parser
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for k := e.Key(); k.Next(); {
			if line == 0 {
				line = p.Shape(k.Node().Raw).Start.Line
			}
			parts = append(parts, string(k.Node().Data))
		}
		path := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.Table:
			table = numberedTable(path, count) + "."
		case unstable.ArrayTable:
			table = numberedTable(path, count) + "." + strconv.Itoa(count[path]) + "."
			count[path]++
		case unstable.KeyValue:
			at[table+path] = line
			continue
		default:
			continue
		}
		at[strings.TrimSuffix(table, ".")] = line
	}
	return at
}

// numberedTable puts the number of the list's last table behind each list in a path.
func numberedTable(path string, count map[string]int) string {
	parts := strings.Split(path, ".")
	var out []string
	for i, part := range parts {
		out = append(out, part)
		if n := count[strings.Join(parts[:i+1], ".")]; n > 0 && i < len(parts)-1 {
			out = append(out, strconv.Itoa(n-1))
		}
	}
	return strings.Join(out, ".")
}

func decodeYAML(text []byte) (tree map[string]any, lines map[string]int, err error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return nil, nil, Fault{Problem: strings.TrimPrefix(err.Error(), "yaml: ")}
	}
	if len(doc.Content) != 1 || doc.Content[0].Kind != yaml.MappingNode {
		return nil, nil, Fault{Line: doc.Line, Problem: "a mapping was expected"}
	}
	lines = map[string]int{}
	value, err := fromYAML(doc.Content[0], "", lines, 0)
	if err != nil {
		return nil, nil, err
	}
	tree, _ = value.(map[string]any)
	for i, n := 0, doc.Content[0].Content; i+1 < len(n); i += 2 { // the list of endpoints keeps its types
		if n[i].Value == "known" {
			var known any
			if err := n[i+1].Decode(&known); err != nil {
				return nil, nil, Fault{Line: n[i].Line, Key: "known", Problem: err.Error()}
			}
			tree["known"] = known
		}
	}
	return tree, lines, nil
}

// fromYAML takes scalars as they are written, so that digits of a seed stay digits.
func fromYAML(n *yaml.Node, path string, lines map[string]int, depth int) (any, error) {
	switch {
	case depth > 16:
		return nil, Fault{Line: n.Line, Key: path, Problem: "nested too deep"}
	case n.Kind == yaml.AliasNode:
		return nil, Fault{Line: n.Line, Key: path, Problem: "an alias, which is not taken here"}
	case n.Kind == yaml.MappingNode:
		m := map[string]any{}
		for i := 0; i+1 < len(n.Content); i += 2 {
			key := n.Content[i].Value
			inner := strings.TrimPrefix(path+"."+key, ".")
			lines[inner] = n.Content[i].Line
			v, err := fromYAML(n.Content[i+1], inner, lines, depth+1)
			if err != nil {
				return nil, err
			}
			m[key] = v
		}
		return m, nil
	case n.Kind == yaml.SequenceNode:
		list := []any{}
		for i, c := range n.Content {
			v, err := fromYAML(c, path+"."+strconv.Itoa(i), lines, depth+1)
			if err != nil {
				return nil, err
			}
			list = append(list, v)
		}
		return list, nil
	case n.Tag == "!!null":
		return nil, nil
	}
	return n.Value, nil
}

// Nearest proposes, of some known names, the one that has most in common with a strange one; empty if none has enough.
func Nearest(name string, known []string) (best string) {
	most := len(name) / 2
	for _, k := range known {
		if n := common(name, k); n > most {
			best, most = k, n
		}
	}
	return best
}

// common is the length of the longest common subsequence, less what the longer one has besides.
func common(a, b string) int {
	row := make([]int, len(b)+1)
	for i := range a {
		before := 0
		for j := range b {
			keep := row[j+1]
			if a[i] == b[j] {
				row[j+1] = before + 1
			} else {
				row[j+1] = max(row[j+1], row[j])
			}
			before = keep
		}
	}
	return row[len(b)] - max(0, len(b)-len(a))
}

// LineOf is the line of a key in TOMLLines, or of the nearest table around it; 0: none is known.
func LineOf(lines map[string]int, path string) int {
	line := lines[path]
	for line == 0 && strings.Contains(path, ".") {
		path = path[:strings.LastIndexByte(path, '.')]
		line = lines[path]
	}
	return line
}

// TOMLFault tells what go-toml found wrong with a file, with line and key where it knows them.
func TOMLFault(file string, err error) Fault {
	fault := Fault{File: file, Problem: strings.TrimPrefix(err.Error(), "toml: ")}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		fault.Line, _ = wrong.Position()
		fault.Key = strings.Join(wrong.Key(), ".")
	}
	return fault
}
