package capacity

// MechanismID names a mechanism that carries rows of the page.
type MechanismID string

// Mechanisms whose successors the page weighs.
const (
	HeldWork    MechanismID = "held-work"
	HeldMemory  MechanismID = "held-memory"
	HeldRestart MechanismID = "held-restart"
	OutageAlone MechanismID = "outage-alone"
	FullList    MechanismID = "full-list"
	Membership  MechanismID = "flat-membership"
	Sharing     MechanismID = "flat-sharing"
	HandOut     MechanismID = "hand-out"
	Connections MechanismID = "connections"
	OnlyCopy    MechanismID = "only-copy"
)

// Mechanism is what carries rows today, and what would have to come in its place.
type Mechanism struct {
	ID      MechanismID `json:"id"`
	Today   string      `json:"today"`
	Missing string      `json:"missing"`
	OnPath  bool        `json:"on_a_messages_way"`
	// Unshown is a part of its main job that no run can show today, in words; empty: none.
	Unshown string `json:"unshown,omitempty"`
}

// Mechanisms are all of them, in no order of merit.
func Mechanisms() []Mechanism {
	return []Mechanism{
		{HeldWork, "each step of the decisions goes through all messages held", "work in a step by what is due or has changed: timers and an index", true, ""},
		{HeldMemory, "every message held stands in memory: decisions, router, spool", "backlog parked on disk behind an open breaker, its front in memory", true, ""},
		{HeldRestart, "a restart reads every message held before it is ready", "a restart that reads the front of the backlog, and the rest while it runs", true, ""},
		{OutageAlone, "each courier learns of an outage by its own calls", "a breaker's verdict as shared state, and one trial for all under a lease", true, ""},
		{FullList, "each courier knows every destination; each change goes through all", "interest: a courier knows the destinations that it has to do with; changes as deltas with a generation", true, ""},
		{Membership, "one flat membership: everybody knows everybody", "cells: membership in full within a zone, a digest of each zone beyond it", false, ""},
		{Sharing, "parts of limits among all couriers, counts of all said to all", "quota: leases of limits in a tree of courier, zone and region", false, ""},
		{HandOut, "no hand-out of changes: a file at each courier, read again on a signal, and the list of discovery", "changes handed out in stages by the machines set aside for control", false,
			"its main job, settings in force everywhere, is carried by nothing today, so no run can show where it breaks"},
		{Connections, "a connection for each destination that is called, closed when it rests", "ownership: destinations by rendezvous hash to a few couriers, which keep their connections", true, ""},
		{OnlyCopy, "one copy of each message taken on, on its courier's disk", "a second copy before a message is taken on; nobody has asked for one yet", true,
			"what is lost with a disk is lost at any size"},
	}
}

// MechanismOf returns the mechanism of a name.
func MechanismOf(id MechanismID) (Mechanism, bool) {
	for _, mechanism := range Mechanisms() {
		if mechanism.ID == id {
			return mechanism, true
		}
	}
	return Mechanism{}, false
}
