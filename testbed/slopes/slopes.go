// Package slopes holds what scale runs measured and how it grows: points, the curves fitted to them with their spread, and
// the file that keeps both, docs/capacity/measured.json. It measures nothing itself; testbed/scale writes, testbed/capacity reads.
package slopes

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"strings"

	"github.com/google/renameio/v2"
)

// Version of the file. A file of another version is refused.
const Version = 1

// Measured is the whole file: one entry for each scale run, ordered by name.
type Measured struct {
	Version int   `json:"version"`
	Runs    []Run `json:"runs"`
}

// Run is one scale run as it was played last.
type Run struct {
	Name      string  `json:"name"`               // as in pineport-testbed scale NAME
	About     string  `json:"about"`              // what was played, in one sentence
	Command   string  `json:"command"`            // the command line that repeats it
	Commit    string  `json:"commit"`             // of the program measured; "+" at its end: with changes not committed
	StartedAt string  `json:"taken"`              // RFC 3339
	Machine   string  `json:"machine"`            // cores, memory and Go version
	Quick     bool    `json:"quick"`              // at the small sizes
	Plays     int     `json:"plays"`              // of each point
	Seconds   float64 `json:"seconds"`            // real time that the run took
	Points    []Point `json:"points"`             //
	Slopes    []Slope `json:"slopes"`             //
	Missing   []Gap   `json:"missing,omitempty"`  // what the run set out to measure and could not
	Verified  string  `json:"verified,omitempty"` // how stand-ins compare with real processes, where the run has such
}

// Point is one size, with each figure once for each play.
type Point struct {
	Sizes  map[string]float64   `json:"sizes"`  // by the names that the run states, such as held, destinations, couriers
	Values map[string][]float64 `json:"values"` // by figure, such as step_seconds; one value a play
}

// Gap says what was not measured, and why.
type Gap struct {
	Figure string `json:"figure"`
	Why    string `json:"why"`
}

// Slope is how a figure grows with one size.
type Slope struct {
	Name   string  `json:"name"`  // RUN.FIGURE or RUN.FIGURE.VARIANT, unique in the file
	About  string  `json:"about"` // what the figure is, in a few words
	Unit   string  `json:"unit"`  // s, bytes, bytes/s, packets/s, calls, ratio, cores, ...
	Over   string  `json:"over"`  // the size it grows with, as in Point.Sizes
	From   float64 `json:"from"`  // smallest size measured
	To     float64 `json:"to"`    // largest size measured
	Points int     `json:"points"`
	Plays  int     `json:"plays"`
	Fit    Fit     `json:"fit"`
	// Figure and Where tell which values of the run's points the curve was fitted to: those of this name, at the points whose other
	// sizes are these.
	Figure string             `json:"figure"`
	Where  map[string]float64 `json:"where,omitempty"`
}

// At carries the figure to a size.
func (s *Slope) At(size float64) float64 { return s.Fit.At(size) }

// Extrapolation is how many times beyond the largest size measured a size lies; 1 and less is within.
func (s *Slope) Extrapolation(size float64) float64 { return size / s.To }

// Values are all pairs of a size and a figure that a curve was fitted to, one for each play: those of the points that have that size,
// and whose other sizes are as given; a size that a point does not have counts as nought.
func (r *Run) Values(figure, over string, where map[string]float64) (sizes, figures []float64) {
	for _, point := range r.Points {
		if _, sized := point.Sizes[over]; !sized || !point.isAt(where) {
			continue
		}
		for _, value := range point.Values[figure] {
			sizes, figures = append(sizes, point.Sizes[over]), append(figures, value)
		}
	}
	return sizes, figures
}

// isAt tells whether a point has these sizes, whatever its others are.
func (p *Point) isAt(sizes map[string]float64) bool {
	for name, want := range sizes {
		if p.Sizes[name] != want {
			return false
		}
	}
	return true
}

// Find returns the slope of a name.
func (m *Measured) Find(name string) (*Slope, *Run, bool) {
	for i := range m.Runs {
		run := &m.Runs[i]
		for j := range run.Slopes {
			if run.Slopes[j].Name == name {
				return &run.Slopes[j], run, true
			}
		}
	}
	return nil, nil, false
}

// Put replaces the run of that name, or adds it.
func (m *Measured) Put(run Run) {
	i, found := slices.BinarySearchFunc(m.Runs, run.Name, func(r Run, name string) int { return strings.Compare(r.Name, name) })
	if found {
		m.Runs[i] = run
		return
	}
	m.Runs = slices.Insert(m.Runs, i, run)
}

// Load reads the file. One that is not there yet reads as empty.
func Load(path string) (*Measured, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return &Measured{Version: Version}, nil
	}
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads the text of the file; path is named in errors.
func Parse(path string, text []byte) (*Measured, error) {
	m := &Measured{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(m); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if m.Version != Version {
		return nil, fmt.Errorf("%s: version: %d was expected, not %d", path, Version, m.Version)
	}
	seen := map[string]bool{}
	for _, run := range m.Runs {
		for _, slope := range run.Slopes {
			if seen[slope.Name] {
				return nil, fmt.Errorf("%s: runs.%s: the slope %q stands twice", path, run.Name, slope.Name)
			}
			seen[slope.Name] = true
			if err := slope.Fit.check(); err != nil {
				return nil, fmt.Errorf("%s: runs.%s: slope %q: %w", path, run.Name, slope.Name, err)
			}
		}
	}
	return m, nil
}

// Save writes the file in one piece.
func (m *Measured) Save(path string) error {
	text, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return err
	}
	return renameio.WriteFile(path, append(text, '\n'), 0o644)
}
