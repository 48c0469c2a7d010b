package capacity

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"pineport/testbed/slopes"
)

// Role is the part of a deployment that a row describes.
type Role string

// Roles, in the order in which the page lists them.
const (
	RoleCourier   Role = "courier"
	RoleControl   Role = "machines set aside for control"
	RoleSpeaker   Role = "speakers of zones and regions"                // couriers that would exchange packets on behalf of their zone or region
	RoleDiscovery Role = "discovery, as it is asked"                    // load of the couriers on discovery
	RolePartners  Role = "clients and endpoints, as couriers load them" // load of the couriers on clients and endpoints
	RoleEvent     Role = "events"                                       // rows of the second part of the page
)

// Resource is the resource or quantity that a row measures.
type Resource string

// Resources.
const (
	State       Resource = "state"
	Messages    Resource = "messages"
	Bytes       Resource = "bytes"
	Processor   Resource = "processor"
	Memory      Resource = "memory"
	Disk        Resource = "disk"
	Descriptors Resource = "descriptors"
	Latency     Resource = "time"
	Bound       Resource = "bound in the code"
	Calls       Resource = "calls"
)

// Status is the state of implementation of a mechanism.
type Status string

// Values of Status.
const (
	RunsToday Status = "runs today"                 // part of the courier
	Hollow    Status = "shown with hollow couriers" // many couriers in one process, with stand-ins for sockets, disk, clients and endpoints
	Paper     Status = "on paper only"              // there is no code
)

// Size is a size of a plan to which slopes are extrapolated.
type Size struct {
	Name string // the name that scale runs use: Slope.Over
	At   func(*Plan, *Derived) float64
}

// Part is one term of a row: the figure of a slope at a size, multiplied by a factor that depends on the plan.
type Part struct {
	Slope  string // RUN.FIGURE[.VARIANT], as the scale runs write it
	Unit   string // expected unit of the slope
	Over   Size
	Factor func(*Plan, *Derived) float64 // nil: 1
	// AtMost is the largest figure that the measurement of the slope can give; 0: no upper bound.
	AtMost float64
}

// Counted is a figure of a run that is reported at the sizes of the run and not extrapolated.
type Counted struct {
	Run, Figure, Over string
	Where             map[string]float64
}

// Budget is the limit that the figure of a row is compared with.
type Budget struct {
	Key     string  `json:"key,omitempty"` // key of the plan; empty: a constant of the code, named in Source
	Source  string  `json:"source"`
	Figure  float64 `json:"figure"`
	Assumed bool    `json:"assumed,omitempty"` // not a stated requirement
}

// Row defines one row of the page. Exactly one of these gives the source of its figure: Parts, Computed, CodeBound together with Computed,
// Counted, or NoFigureReason.
type Row struct {
	Role     Role
	Resource Resource
	What     string
	Unit     string
	Parts    []Part
	Added    func(*Plan, *Derived) float64 // computed term added to Parts, proportional to the share of the planned size; nil: none
	Computed func(*Plan, *Derived) float64 // figure computed from the plan alone
	Counted  *Counted
	// CodeBound is a limit in the code. It is the budget of Computed, which gives the size that must not exceed it.
	CodeBound      *CodeBound
	NoFigureReason string // why the row has no figure
	Budget         func(*Plan) Budget
	Mechanism      MechanismID
	Package        string // Go packages that implement the mechanism
	Status         Status
	// NotRankedReason is the reason why the row is only informational: its budget does not count in the choice of Candidates. Empty: it counts.
	NotRankedReason string
}

// CodeBound is a constant of the code that limits a size.
type CodeBound struct {
	Name   string // of the constant or field
	File   string // path from the root of the repository
	Figure float64
}

// RowResult is a row with its computed figures.
type RowResult struct {
	Role            Role        `json:"role"`
	Resource        Resource    `json:"resource"`
	What            string      `json:"what"`
	Unit            string      `json:"unit"`
	Evidence        Evidence    `json:"evidence"`
	Figure          *float64    `json:"figure,omitempty"` // at the planned size; nil: not measured
	AtLeast         bool        `json:"at_least,omitempty"`
	Parts           []PartUsed  `json:"parts,omitempty"`
	Added           float64     `json:"added,omitempty"`   // term added to the parts, at the planned size
	Counts          []Count     `json:"counts,omitempty"`  // at the sizes of a run, not extrapolated
	Missing         []string    `json:"missing,omitempty"` // slopes that are not measured, or the reason why there is no figure
	Spread          float64     `json:"spread,omitempty"`  // largest spread of the fits: root mean square of the relative residuals
	Extrapolation   float64     `json:"carried,omitempty"` // planned size / largest measured size, the largest of the parts
	Marked          bool        `json:"marked,omitempty"`  // Extrapolation is over 10
	Budget          *Budget     `json:"budget,omitempty"`
	Share           *float64    `json:"share,omitempty"` // of the planned size at which the budget is exceeded
	NeverBreaks     bool        `json:"never_breaks,omitempty"`
	MeasuredBreak   bool        `json:"seen_to_break,omitempty"` // Share is a measured size over the budget, where the curve is still below the budget
	Mechanism       MechanismID `json:"mechanism,omitempty"`
	Package         string      `json:"package"`
	Status          Status      `json:"standing,omitempty"` // empty for lines of events, where the status of the mechanism's rows applies
	NotRankedReason string      `json:"told,omitempty"`
	AssumedKeys     []string    `json:"assumes,omitempty"` // assumed keys that the figure depends on
}

// Evidence is the source of a figure.
type Evidence string

// Kinds of evidence.
const (
	Measured    Evidence = "slope"      // extrapolated from the slopes of scale runs
	Arithmetic  Evidence = "arithmetic" // computed from the plan alone
	InTheCode   Evidence = "bound in the code"
	CountedOnly Evidence = "counted, not carried" // printed at the sizes of the run, not extrapolated
	NotMeasured Evidence = "not measured"
)

// PartUsed is a Part with the fit and the range of its slope, at the planned size.
type PartUsed struct {
	Slope         string     `json:"slope"`
	Run           string     `json:"run"`
	Over          string     `json:"over"`
	From          float64    `json:"from"`
	To            float64    `json:"to"`
	Size          float64    `json:"size"` // planned size
	Extrapolation float64    `json:"carried"`
	Factor        float64    `json:"times"`
	AtMost        float64    `json:"at_most,omitempty"` // upper bound of the slope's figure
	Fit           slopes.Fit `json:"fit"`
	Unit          string     `json:"unit"`
	// LastPointRatio is the mean of the figures measured at the largest size, divided by the value of the curve there; 0: the run has no
	// points for this slope.
	LastPointRatio float64 `json:"last,omitempty"`
	points         []Count // of the points of the run, by size
}

// maxUnmarkedExtrapolation is the ratio of planned to measured size above which a figure is marked.
const maxUnmarkedExtrapolation = 10

// Count is the mean of a figure that a run measured or counted at one size.
type Count struct {
	Figure      string  `json:"figure"` // RUN.FIGURE
	Over        string  `json:"over"`
	Size        float64 `json:"size"`
	Mean        float64 `json:"mean"` // over all repetitions
	Repetitions int     `json:"plays"`
}

// figureAt returns the figure of a part at a share of the planned size.
func (u *PartUsed) figureAt(share float64) float64 {
	return u.Factor * u.bounded(u.Fit.At(share*u.Size))
}

// bounded limits a figure of the slope to its upper bound.
func (u *PartUsed) bounded(figure float64) float64 {
	if u.AtMost > 0 {
		return min(figure, u.AtMost)
	}
	return figure
}

// shareAt returns the share of the planned size at which the part reaches a figure.
func (u *PartUsed) shareAt(figure float64) float64 {
	if u.Factor == 0 || u.AtMost > 0 && figure/u.Factor >= u.AtMost {
		return math.Inf(1)
	}
	return u.Fit.SizeAt(figure/u.Factor) / u.Size
}

// Evaluate computes the figures of a row at the planned size. It returns an error if a slope has another unit or size than the row expects.
func (row *Row) Evaluate(plan *Plan, d *Derived, measured *slopes.Measured) (RowResult, error) {
	result := RowResult{Role: row.Role, Resource: row.Resource, What: row.What, Unit: row.Unit, Mechanism: row.Mechanism, Package: row.Package,
		Status: row.Status, NotRankedReason: row.NotRankedReason}
	if row.Budget != nil {
		budget := row.Budget(plan)
		result.Budget = &budget
	}
	switch {
	case row.NoFigureReason != "":
		result.Evidence, result.Missing = NotMeasured, []string{row.NoFigureReason}
	case row.CodeBound != nil:
		result.AssumedKeys = assumedBehind(plan, row.Computed)
		result.setCodeBound(row.CodeBound, row.Computed(plan, d))
	case row.Computed != nil:
		result.AssumedKeys = assumedBehind(plan, row.Computed)
		result.setComputed(row.Computed(plan, d))
	case row.Counted != nil:
		result.setCounts(row.Counted, measured)
	default:
		result.AssumedKeys = row.assumedBehindParts(plan)
		if row.Added != nil {
			result.Added = row.Added(plan, d)
		}
		return result, result.extrapolate(row.Parts, plan, d, measured)
	}
	return result, nil
}

// assumedBehindParts returns the assumed keys that the sizes and factors of a row's slopes and its added term depend on.
func (row *Row) assumedBehindParts(plan *Plan) (keys []string) {
	figures := []func(*Plan, *Derived) float64{row.Added}
	for _, part := range row.Parts {
		figures = append(figures, part.Over.At, part.Factor)
	}
	for _, figure := range figures {
		if figure != nil {
			keys = append(keys, assumedBehind(plan, figure)...)
		}
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

func (a *RowResult) setCodeBound(bound *CodeBound, planned float64) {
	a.Evidence, a.Figure = InTheCode, &planned
	a.Budget = &Budget{Source: bound.Name + " in " + bound.File, Figure: bound.Figure}
	a.setShare(bound.Figure / planned)
}

func (a *RowResult) setComputed(figure float64) {
	a.Evidence, a.Figure = Arithmetic, &figure
	if a.Budget != nil && figure > 0 {
		a.setShare(a.Budget.Figure / figure)
	}
}

// setCounts stores the mean that a run counted at each of its sizes.
func (a *RowResult) setCounts(counted *Counted, measured *slopes.Measured) {
	i := slices.IndexFunc(measured.Runs, func(run slopes.Run) bool { return run.Name == counted.Run })
	if i >= 0 {
		sizes, figures := measured.Runs[i].Values(counted.Figure, counted.Over, counted.Where)
		a.Counts = countsOf(counted.Run+"."+counted.Figure, counted.Over, sizes, figures)
	}
	if len(a.Counts) == 0 {
		a.Evidence, a.Missing = NotMeasured, []string{counted.Run + "." + counted.Figure}
		return
	}
	a.Evidence = CountedOnly
}

// countsOf averages the figures of all repetitions at each size, sorted by size.
func countsOf(figure, over string, sizes, figures []float64) (all []Count) {
	sums, repetitions := map[float64]float64{}, map[float64]int{}
	for i, size := range sizes {
		sums[size] += figures[i]
		repetitions[size]++
	}
	for _, size := range slices.Sorted(maps.Keys(sums)) {
		all = append(all, Count{Figure: figure, Over: over, Size: size, Mean: sums[size] / float64(repetitions[size]), Repetitions: repetitions[size]})
	}
	return all
}

// extrapolate computes the figure of a row from its slopes at the planned size.
func (a *RowResult) extrapolate(parts []Part, plan *Plan, d *Derived, measured *slopes.Measured) error {
	for _, part := range parts {
		slope, run, found := measured.Find(part.Slope)
		if !found {
			a.Missing = append(a.Missing, part.Slope)
			continue
		}
		if slope.Unit != part.Unit || slope.Over != part.Over.Name {
			return fmt.Errorf("slope %q: expected %s over %s, got %s over %s", part.Slope, part.Unit, part.Over.Name, slope.Unit, slope.Over)
		}
		used := PartUsed{Slope: part.Slope, Run: run.Name, Over: slope.Over, From: slope.From, To: slope.To, Size: part.Over.At(plan, d), Factor: 1,
			AtMost: part.AtMost, Fit: slope.Fit, Unit: slope.Unit}
		if part.Factor != nil {
			used.Factor = part.Factor(plan, d)
		}
		used.Extrapolation = slope.Extrapolation(used.Size)
		used.storePoints(slope, run)
		a.Parts = append(a.Parts, used)
		a.Spread = max(a.Spread, slope.Fit.Spread)
		a.Extrapolation = max(a.Extrapolation, used.Extrapolation)
	}
	if len(a.Parts) == 0 {
		a.Evidence = NotMeasured
		return nil
	}
	a.Evidence, a.AtLeast, a.Marked = Measured, len(a.Missing) > 0, a.Extrapolation > maxUnmarkedExtrapolation
	figure := a.sum(1)
	a.Figure = &figure
	if a.Budget != nil {
		a.setShare(a.shareAt(a.Budget.Figure))
		a.markBrokenAtEverySize()
		a.applyMeasuredBreak()
	}
	return nil
}

// applyMeasuredBreak lowers the share to the smallest measured size from which on all measured figures are over the budget, if the curve
// crosses the budget only at a larger size.
func (a *RowResult) applyMeasuredBreak() {
	if len(a.Parts) != 1 || a.Added != 0 {
		return
	}
	part := &a.Parts[0]
	for i := len(part.points) - 1; i >= 0 && part.Factor*part.points[i].Mean > a.Budget.Figure; i-- {
		if share := part.points[i].Size / part.Size; a.NeverBreaks || share < *a.Share {
			a.NeverBreaks, a.MeasuredBreak, a.Share = false, true, &share
		}
	}
}

// countPoints stores the measured points and the ratio of the figure at the largest measured size to the curve.
func (u *PartUsed) storePoints(slope *slopes.Slope, run *slopes.Run) {
	sizes, figures := run.Values(slope.Figure, slope.Over, slope.Where)
	u.points = countsOf(slope.Name, slope.Over, sizes, figures)
	if len(u.points) > 0 {
		last := u.points[len(u.points)-1]
		u.LastPointRatio = last.Mean / slope.At(last.Size)
	}
}

// markBrokenAtEverySize sets the share to 0 if the figure falls with the size and is still over its budget at the planned size.
func (a *RowResult) markBrokenAtEverySize() {
	if a.NeverBreaks && *a.Figure > a.Budget.Figure {
		a.NeverBreaks = false
		a.setShare(0)
	}
}

// sum returns the row's figure at a share of the planned size.
func (a *RowResult) sum(share float64) (figure float64) {
	for i := range a.Parts {
		figure += a.Parts[i].figureAt(share)
	}
	return figure + share*a.Added
}

// shareAt returns the share of the planned size at which the row reaches a figure.
func (a *RowResult) shareAt(figure float64) float64 {
	if len(a.Parts) == 1 && a.Added == 0 {
		return a.Parts[0].shareAt(figure)
	}
	return a.shareOfSum(figure)
}

// Bounds of the bisection for a share, and the relative width at which it ends.
const (
	smallestShare = 1e-9
	largestShare  = 1e9
	shareWidth    = 1e-9
)

// shareOfSum finds the share at which the sum of several slopes reaches a figure, by bisection on a logarithmic scale.
func (a *RowResult) shareOfSum(figure float64) float64 {
	low, high := smallestShare, largestShare
	switch {
	case a.sum(low) >= figure:
		return 0
	case a.sum(high) < figure:
		return math.Inf(1)
	}
	for high/low > 1+shareWidth {
		middle := math.Sqrt(low * high)
		if a.sum(middle) < figure {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

func (a *RowResult) setShare(share float64) {
	if math.IsInf(share, 1) {
		a.NeverBreaks = true
		return
	}
	a.Share = &share
}

// Slopes returns the names of the measured slopes that the row uses, joined by " + ".
func (a *RowResult) Slopes() string {
	var names []string
	for _, part := range a.Parts {
		names = append(names, part.Slope)
	}
	return strings.Join(names, " + ")
}
