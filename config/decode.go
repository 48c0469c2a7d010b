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

// Fault describes a problem with one key of a configuration file.
type Fault struct {
	File    string
	Line    int // 0 if unknown
	Key     string
	Problem string // description of the problem
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

// decode parses a file as TOML or YAML, by its extension, or else as JSON. It returns the decoded tree without the key
// known, the line of each key by path, and the value of known (the last known endpoint list) as JSON.
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
		return nil, nil, Fault{Problem: "unexpected data after the JSON object"}
	}
	return tree, jsonLines(text), nil
}

// jsonLines returns the line of each key of a valid JSON text, by path.
func jsonLines(text []byte) map[string]int {
	lines := map[string]int{}
	dec := json.NewDecoder(bytes.NewReader(text))
	line, counted := 1, 0
	currentLine := func() int {
		offset := min(int(dec.InputOffset()), len(text))
		line += bytes.Count(text[counted:offset], []byte("\n"))
		counted = offset
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
				keyPath := strings.TrimPrefix(path+"."+fmt.Sprint(key), ".")
				lines[keyPath] = currentLine()
				walk(keyPath)
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

// TOMLLines returns the line of each key of a TOML text, by path. Tables of an array are numbered from 0.
func TOMLLines(text []byte) map[string]int {
	lines, table, count := map[string]int{}, "", map[string]int{}
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
			lines[table+path] = line
			continue
		default:
			continue
		}
		lines[strings.TrimSuffix(table, ".")] = line
	}
	return lines
}

// numberedTable inserts, after each array of tables within a path, the index of the array's last table so far.
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
		return nil, nil, Fault{Line: doc.Line, Problem: "a mapping expected"}
	}
	lines = map[string]int{}
	value, err := yamlValue(doc.Content[0], "", lines, 0)
	if err != nil {
		return nil, nil, err
	}
	tree, _ = value.(map[string]any)
	for i, nodes := 0, doc.Content[0].Content; i+1 < len(nodes); i += 2 { // known is decoded with types: it becomes JSON in discovery's format
		if nodes[i].Value == "known" {
			var known any
			if err := nodes[i+1].Decode(&known); err != nil {
				return nil, nil, Fault{Line: nodes[i].Line, Key: "known", Problem: err.Error()}
			}
			tree["known"] = known
		}
	}
	return tree, lines, nil
}

// yamlValue converts a node to maps, lists and strings. Scalars stay as written, so that the hex digits of a seed are not
// read as a number.
func yamlValue(n *yaml.Node, path string, lines map[string]int, depth int) (any, error) {
	switch {
	case depth > 16:
		return nil, Fault{Line: n.Line, Key: path, Problem: "nested too deeply"}
	case n.Kind == yaml.AliasNode:
		return nil, Fault{Line: n.Line, Key: path, Problem: "YAML aliases are not supported"}
	case n.Kind == yaml.MappingNode:
		m := map[string]any{}
		for i := 0; i+1 < len(n.Content); i += 2 {
			key := n.Content[i].Value
			keyPath := strings.TrimPrefix(path+"."+key, ".")
			lines[keyPath] = n.Content[i].Line
			v, err := yamlValue(n.Content[i+1], keyPath, lines, depth+1)
			if err != nil {
				return nil, err
			}
			m[key] = v
		}
		return m, nil
	case n.Kind == yaml.SequenceNode:
		list := []any{}
		for i, c := range n.Content {
			v, err := yamlValue(c, path+"."+strconv.Itoa(i), lines, depth+1)
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

// Nearest returns the known name that is most similar to an unknown one, or "" if none is similar enough.
func Nearest(name string, known []string) (closest string) {
	bestScore := len(name) / 2
	for _, k := range known {
		if score := similarity(name, k); score > bestScore {
			closest, bestScore = k, score
		}
	}
	return closest
}

// similarity is the length of the longest common subsequence of a and b, minus the number of bytes by which b
// is longer than a, so that a long name does not match merely by its length.
func similarity(a, b string) int {
	row := make([]int, len(b)+1)
	for i := range a {
		diagonal := 0
		for j := range b {
			above := row[j+1]
			if a[i] == b[j] {
				row[j+1] = diagonal + 1
			} else {
				row[j+1] = max(row[j+1], row[j])
			}
			diagonal = above
		}
	}
	return row[len(b)] - max(0, len(b)-len(a))
}

// LineOf returns the line of a key in the result of TOMLLines, or else of the innermost enclosing table with a line, or 0.
func LineOf(lines map[string]int, path string) int {
	line := lines[path]
	for line == 0 && strings.Contains(path, ".") {
		path = path[:strings.LastIndexByte(path, '.')]
		line = lines[path]
	}
	return line
}

// TOMLFault converts an error of go-toml to a Fault, with line and key if the error has them.
func TOMLFault(file string, err error) Fault {
	fault := Fault{File: file, Problem: strings.TrimPrefix(err.Error(), "toml: ")}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		fault.Line, _ = decodeError.Position()
		fault.Key = strings.Join(decodeError.Key(), ".")
	}
	return fault
}
