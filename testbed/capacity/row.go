package capacity

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"pineport/testbed/slopes"
)

// Role is a part of a deployment that the page speaks of.
type Role string

// Roles, in the order of the page.
const (
	RoleCourier   Role = "courier"
	RoleControl   Role = "machines set aside for control"
	RoleSpeaker   Role = "speakers of zones and regions"
	RoleDiscovery Role = "discovery, as it is asked"
	RolePartners  Role = "clients and endpoints, as couriers load them"
	RoleEvent     Role = "events" // rows of the second part of the page
)

// Resource is what a row is about.
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

// Status is how far a mechanism has come.
type Status string

// Standings.
const (
	RunsToday Status = "runs today"
	Hollow    Status = "shown with hollow couriers"
	Paper     Status = "on paper only"
)

// Size is a size of a plan that a slope is carried to.
type Size struct {
	Name string // as the scale run calls it: Slope.Over
	At   func(*Plan, *Derived) float64
}

// Part is one slope of a row: its figure at a size, times something of the plan.
type Part struct {
	Slope string // RUN.FIGURE[.VARIANT], as the scale runs write it
	Unit  string // that the slope is to have
	Over  Size
	Times func(*Plan, *Derived) float64 // nil: 1
	// AtMost bounds the slope's figure, where the way it is measured does; 0: nothing bounds it.
	AtMost float64
}

// Counted is a figure of a run that is notified at the sizes where it was counted, and carried nowhere.
type Counted struct {
	Run, Figure, Over string
	Where             map[string]float64
}

// Budget is what a row is held against.
type Budget struct {
	Key     string  `json:"key,omitempty"` // of the plan; empty: fixed by the code, Source says where
	Source  string  `json:"source"`
	Figure  float64 `json:"figure"`
	Assumed bool    `json:"assumed,omitempty"` // nobody stated it
}

// Row is one line of the page before it is worked out. One of Parts, Worked, CodeBound, Counted and None says where its figure comes from.
type Row struct {
	Role     Role
	Resource Resource
	What     string
	Unit     string
	Parts    []Part
	Added    func(*Plan, *Derived) float64 // arithmetic on top of Parts, in proportion to the share of the planned size; nil: none
	Worked   func(*Plan, *Derived) float64 // arithmetic alone
	Counted  *Counted
	// CodeBound is a bound that the code has: it is the budget of Worked, the size that has to fit.
	CodeBound *CodeBound
	None      string // why there is no figure at all
	Budget    func(*Plan) Budget
	Mechanism MechanismID
	Package   string // that carries it
	Status    Status
	// Reported rows are for information: their budget doesn't take part in the choice, and Reported says why.
	Reported string
}

// CodeBound is a constant of the code that bounds a size.
type CodeBound struct {
	Name   string // of the constant, or of the field
	File   string // from the root of the repository
	Figure float64
}

// Answer is a row worked out.
type Answer struct {
	Role      Role        `json:"role"`
	Resource  Resource    `json:"resource"`
	What      string      `json:"what"`
	Unit      string      `json:"unit"`
	Evidence  Evidence    `json:"evidence"`
	Figure    *float64    `json:"figure,omitempty"` // at the planned size; nil: not measured
	AtLeast   bool        `json:"at_least,omitempty"`
	Parts     []PartUsed  `json:"parts,omitempty"`
	Added     float64     `json:"added,omitempty"`   // arithmetic on top of the parts, at the planned size
	Counts    []Count     `json:"counts,omitempty"`  // at the sizes of a run, carried nowhere
	Missing   []string    `json:"missing,omitempty"` // slopes that are not measured, or why there is no figure
	Spread    float64     `json:"spread,omitempty"`  // largest of the fits
	Carried   float64     `json:"carried,omitempty"` // times beyond the largest size measured, the largest of the parts
	Marked    bool        `json:"marked,omitempty"`  // carried over tenfold
	Budget    *Budget     `json:"budget,omitempty"`
	Share     *float64    `json:"share,omitempty"` // of the planned size, at which the budget breaks
	Never     bool        `json:"never_breaks,omitempty"`
	Seen      bool        `json:"seen_to_break,omitempty"` // the share is that of a size measured, which the curve would have passed
	Mechanism MechanismID `json:"mechanism,omitempty"`
	Package   string      `json:"package"`
	Status    Status      `json:"standing,omitempty"` // empty for lines of events: that of the rows of their mechanism
	Reported  string      `json:"told,omitempty"`
	Assumes   []string    `json:"assumes,omitempty"` // keys whose figures nobody stated, on which the figure rests
}

// Evidence is what a figure rests on.
type Evidence string

// Kinds of evidence.
const (
	Measured    Evidence = "slope"
	Arithmetic  Evidence = "arithmetic"
	InTheCode   Evidence = "bound in the code"
	CountedOnly Evidence = "counted, not carried"
	NotMeasured Evidence = "not measured"
)

// PartUsed is a slope as a row uses it.
type PartUsed struct {
	Slope   string     `json:"slope"`
	Run     string     `json:"run"`
	Over    string     `json:"over"`
	From    float64    `json:"from"`
	To      float64    `json:"to"`
	Size    float64    `json:"size"` // planned
	Carried float64    `json:"carried"`
	Times   float64    `json:"times"`
	AtMost  float64    `json:"at_most,omitempty"` // of the slope's figure
	Fit     slopes.Fit `json:"fit"`
	Unit    string     `json:"unit"`
	// Last is what was measured at the largest size, the mean of its plays, over the curve there; 0: the run's points tell nothing.
	Last   float64 `json:"last,omitempty"`
	counts []Count // of the run's points, by size
}

// markedBeyond is how far a slope may be carried without a mark.
const markedBeyond = 10

// Count is a figure as a run counted it at one size.
type Count struct {
	Figure string  `json:"figure"` // RUN.FIGURE
	Over   string  `json:"over"`
	Size   float64 `json:"size"`
	Mean   float64 `json:"mean"` // over all plays
	Plays  int     `json:"plays"`
}

// at is the figure of a part at a share of the planned size.
func (u *PartUsed) at(share float64) float64 { return u.Times * u.bounded(u.Fit.At(share*u.Size)) }

// bounded is a figure of the slope within its bound.
func (u *PartUsed) bounded(figure float64) float64 {
	if u.AtMost > 0 {
		return min(figure, u.AtMost)
	}
	return figure
}

// shareAt is the share of the planned size at which the part reaches a figure.
func (u *PartUsed) shareAt(figure float64) float64 {
	if u.Times == 0 || u.AtMost > 0 && figure/u.Times >= u.AtMost {
		return math.Inf(1)
	}
	return u.Fit.SizeAt(figure/u.Times) / u.Size
}

// Evaluate carries a row to the plan's size. Its error tells of a slope that is not what the row takes it for.
func (row *Row) Work(plan *Plan, d *Derived, measured *slopes.Measured) (Answer, error) {
	answer := Answer{Role: row.Role, Resource: row.Resource, What: row.What, Unit: row.Unit, Mechanism: row.Mechanism, Package: row.Package,
		Status: row.Status, Reported: row.Reported}
	if row.Budget != nil {
		budget := row.Budget(plan)
		answer.Budget = &budget
	}
	switch {
	case row.None != "":
		answer.Evidence, answer.Missing = NotMeasured, []string{row.None}
	case row.CodeBound != nil:
		answer.Assumes = assumedBehind(plan, row.Worked)
		answer.bound(row.CodeBound, row.Worked(plan, d))
	case row.Worked != nil:
		answer.Assumes = assumedBehind(plan, row.Worked)
		answer.worked(row.Worked(plan, d))
	case row.Counted != nil:
		answer.count(row.Counted, measured)
	default:
		answer.Assumes = row.assumedBehindParts(plan)
		if row.Added != nil {
			answer.Added = row.Added(plan, d)
		}
		return answer, answer.carry(row.Parts, plan, d, measured)
	}
	return answer, nil
}

// assumedBehindParts are the assumed keys on which the sizes and factors of a row's slopes rest, and what is added to them.
func (row *Row) assumedBehindParts(plan *Plan) (keys []string) {
	figures := []func(*Plan, *Derived) float64{row.Added}
	for _, part := range row.Parts {
		figures = append(figures, part.Over.At, part.Times)
	}
	for _, figure := range figures {
		if figure != nil {
			keys = append(keys, assumedBehind(plan, figure)...)
		}
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

func (a *Answer) bound(bound *CodeBound, planned float64) {
	a.Evidence, a.Figure = InTheCode, &planned
	a.Budget = &Budget{Source: bound.Name + " in " + bound.File, Figure: bound.Figure}
	a.breakAt(bound.Figure / planned)
}

func (a *Answer) worked(figure float64) {
	a.Evidence, a.Figure = Arithmetic, &figure
	if a.Budget != nil && figure > 0 {
		a.breakAt(a.Budget.Figure / figure)
	}
}

// count takes what a run counted at each of its sizes.
func (a *Answer) count(counted *Counted, measured *slopes.Measured) {
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

// countsOf makes one count of all plays at a size, smallest size first.
func countsOf(figure, over string, sizes, figures []float64) (all []Count) {
	sums, plays := map[float64]float64{}, map[float64]int{}
	for i, size := range sizes {
		sums[size] += figures[i]
		plays[size]++
	}
	for _, size := range slices.Sorted(maps.Keys(sums)) {
		all = append(all, Count{Figure: figure, Over: over, Size: size, Mean: sums[size] / float64(plays[size]), Plays: plays[size]})
	}
	return all
}

// carry takes every slope of a row to its size.
func (a *Answer) carry(parts []Part, plan *Plan, d *Derived, measured *slopes.Measured) error {
	for _, part := range parts {
		slope, run, found := measured.Find(part.Slope)
		if !found {
			a.Missing = append(a.Missing, part.Slope)
			continue
		}
		if slope.Unit != part.Unit || slope.Over != part.Over.Name {
			return fmt.Errorf("slope %q: %s over %s was expected, not %s over %s", part.Slope, part.Unit, part.Over.Name, slope.Unit, slope.Over)
		}
		used := PartUsed{Slope: part.Slope, Run: run.Name, Over: slope.Over, From: slope.From, To: slope.To, Size: part.Over.At(plan, d), Times: 1,
			AtMost: part.AtMost, Fit: slope.Fit, Unit: slope.Unit}
		if part.Times != nil {
			used.Times = part.Times(plan, d)
		}
		used.Carried = slope.Extrapolation(used.Size)
		used.countPoints(slope, run)
		a.Parts = append(a.Parts, used)
		a.Spread = max(a.Spread, slope.Fit.Spread)
		a.Carried = max(a.Carried, used.Carried)
	}
	if len(a.Parts) == 0 {
		a.Evidence = NotMeasured
		return nil
	}
	a.Evidence, a.AtLeast, a.Marked = Measured, len(a.Missing) > 0, a.Carried > markedBeyond
	figure := a.sum(1)
	a.Figure = &figure
	if a.Budget != nil {
		a.breakAt(a.shareAt(a.Budget.Figure))
		a.brokenThroughout()
		a.seenToBreak()
	}
	return nil
}

// seenToBreak mends the share of a figure that was measured over its budget at a size where the curve is still below.
func (a *Answer) seenToBreak() {
	if len(a.Parts) != 1 || a.Added != 0 {
		return
	}
	part := &a.Parts[0]
	for i := len(part.counts) - 1; i >= 0 && part.Times*part.counts[i].Mean > a.Budget.Figure; i-- {
		if share := part.counts[i].Size / part.Size; a.Never || share < *a.Share {
			a.Never, a.Seen, a.Share = false, true, &share
		}
	}
}

// countPoints takes what the run measured, and tells how the largest size compares with the curve.
func (u *PartUsed) countPoints(slope *slopes.Slope, run *slopes.Run) {
	sizes, figures := run.Values(slope.Figure, slope.Over, slope.Where)
	u.counts = countsOf(slope.Name, slope.Over, sizes, figures)
	if len(u.counts) > 0 {
		last := u.counts[len(u.counts)-1]
		u.Last = last.Mean / slope.At(last.Size)
	}
}

// brokenThroughout mends the share of a figure that falls as the size grows and is over its budget at the planned size all the same.
func (a *Answer) brokenThroughout() {
	if a.Never && *a.Figure > a.Budget.Figure {
		a.Never = false
		a.breakAt(0)
	}
}

// sum is the row's figure at a share of the planned size.
func (a *Answer) sum(share float64) (figure float64) {
	for i := range a.Parts {
		figure += a.Parts[i].at(share)
	}
	return figure + share*a.Added
}

// shareAt is the share of the planned size at which the row reaches a figure.
func (a *Answer) shareAt(figure float64) float64 {
	if len(a.Parts) == 1 && a.Added == 0 {
		return a.Parts[0].shareAt(figure)
	}
	return a.shareOfSum(figure)
}

// Bounds of the search for a share, and the relative width at which it ends.
const (
	smallestShare = 1e-9
	largestShare  = 1e9
	shareWidth    = 1e-9
)

// shareOfSum searches by halving, on a logarithmic scale, where the sum of several slopes reaches a figure.
func (a *Answer) shareOfSum(figure float64) float64 {
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

func (a *Answer) breakAt(share float64) {
	if math.IsInf(share, 1) {
		a.Never = true
		return
	}
	a.Share = &share
}

// Slopes names what the row rests on, whether it is measured or not.
func (a *Answer) Slopes() string {
	var names []string
	for _, part := range a.Parts {
		names = append(names, part.Slope)
	}
	return strings.Join(names, " + ")
}
