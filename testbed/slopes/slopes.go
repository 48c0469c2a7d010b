// Package slopes stores the results of scale runs: the measured points, and the curves fitted to them, which describe how
// a figure grows with a size. The results are kept in docs/capacity/measured.json. Package testbed/scale measures and
// writes them, package testbed/capacity reads them.
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

// Version is the format version of the file. Parse rejects any other version.
const Version = 1

// Measured is the content of the file: one entry for each scale run, ordered by name.
type Measured struct {
	Version int   `json:"version"`
	Runs    []Run `json:"runs"`
}

// Run is the latest result of one scale run.
type Run struct {
	Name      string          `json:"name"`    // argument NAME of the command pineport-testbed scale NAME
	About     string          `json:"about"`   // what the run measures, in one sentence
	Command   string          `json:"command"` // command line that repeats the run
	Commit    string          `json:"commit"`  // commit of the measured program; a trailing "+" stands for uncommitted changes
	StartedAt string          `json:"taken"`   // start of the run, in RFC 3339 form
	Machine   string          `json:"machine"` // cores, memory and Go version
	Quick     bool            `json:"quick"`   // played once, at the small sizes
	Plays     int             `json:"plays"`   // repetitions of each point
	Seconds   float64         `json:"seconds"` // wall-clock time of the run
	Points    []Point         `json:"points"`
	Slopes    []Slope         `json:"slopes"`
	Missing   []MissingFigure `json:"missing,omitempty"`  // figures that the run could not measure
	Verified  string          `json:"verified,omitempty"` // comparison of stand-ins with real processes, if the run makes one
}

// Point holds the figures measured at one combination of sizes, with one value of each figure for each play.
type Point struct {
	Sizes  map[string]float64   `json:"sizes"`  // by name of the size, such as messages, destinations, couriers
	Values map[string][]float64 `json:"values"` // by name of the figure, such as reload_seconds
}

// MissingFigure is a figure that a run could not measure, with the reason.
type MissingFigure struct {
	Figure string `json:"figure"`
	Why    string `json:"why"`
}

// Slope describes how a figure grows with one size.
type Slope struct {
	Name   string  `json:"name"`   // RUN.FIGURE or RUN.FIGURE.VARIANT, unique in the file
	About  string  `json:"about"`  // short description of the figure
	Unit   string  `json:"unit"`   // s, bytes, bytes/s, packets/s, calls, ratio, cores, ...
	Over   string  `json:"over"`   // name of the size that the figure grows with, as in Point.Sizes
	From   float64 `json:"from"`   // smallest size measured
	To     float64 `json:"to"`     // largest size measured
	Points int     `json:"points"` // number of distinct sizes
	Plays  int     `json:"plays"`  // repetitions of each size
	Fit    Fit     `json:"fit"`
	// The curve was fitted to the values named Figure, at the points of the run that have the sizes in Where. Further sizes of
	// a point are ignored.
	Figure string             `json:"figure"`
	Where  map[string]float64 `json:"where,omitempty"`
}

// At returns the figure that the curve gives at a size, which may lie outside the measured range.
func (s *Slope) At(size float64) float64 { return s.Fit.At(size) }

// Extrapolation returns size divided by the largest measured size. A result above 1 is an extrapolation.
func (s *Slope) Extrapolation(size float64) float64 { return size / s.To }

// Values returns the pairs of a size and a figure that a curve is fitted to, one pair for each play. It takes the points
// that have the size named over and the sizes in where. Further sizes are ignored, and a size that a point lacks counts as 0.
func (r *Run) Values(figure, over string, where map[string]float64) (sizes, figures []float64) {
	for _, point := range r.Points {
		if _, sized := point.Sizes[over]; !sized || !point.hasSizes(where) {
			continue
		}
		for _, value := range point.Values[figure] {
			sizes, figures = append(sizes, point.Sizes[over]), append(figures, value)
		}
	}
	return sizes, figures
}

// hasSizes reports whether the point has the given sizes. Other sizes of the point are ignored.
func (p *Point) hasSizes(sizes map[string]float64) bool {
	for name, want := range sizes {
		if p.Sizes[name] != want {
			return false
		}
	}
	return true
}

// Find returns the slope with the given name, and its run.
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

// Put replaces the run of the same name, or inserts it in the order of names.
func (m *Measured) Put(run Run) {
	i, found := slices.BinarySearchFunc(m.Runs, run.Name, func(r Run, name string) int { return strings.Compare(r.Name, name) })
	if found {
		m.Runs[i] = run
		return
	}
	m.Runs = slices.Insert(m.Runs, i, run)
}

// Load reads the file. If the file does not exist, Load returns an empty Measured.
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

// Parse decodes and validates the text of the file. The path appears in errors only.
func Parse(path string, text []byte) (*Measured, error) {
	m := &Measured{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(m); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if m.Version != Version {
		return nil, fmt.Errorf("%s: version: want %d, got %d", path, Version, m.Version)
	}
	seen := map[string]bool{}
	for _, run := range m.Runs {
		for _, slope := range run.Slopes {
			if seen[slope.Name] {
				return nil, fmt.Errorf("%s: runs.%s: duplicate slope %q", path, run.Name, slope.Name)
			}
			seen[slope.Name] = true
			if err := slope.Fit.check(); err != nil {
				return nil, fmt.Errorf("%s: runs.%s: slope %q: %w", path, run.Name, slope.Name, err)
			}
		}
	}
	return m, nil
}

// Save replaces the file atomically.
func (m *Measured) Save(path string) error {
	text, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return err
	}
	return renameio.WriteFile(path, append(text, '\n'), 0o644)
}
