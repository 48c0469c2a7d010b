package capacity

// MechanismID identifies a mechanism of pineport that rows of the page belong to.
type MechanismID string

// Mechanisms for which the page ranks a replacement.
const (
	HeldWork    MechanismID = "held-work"       // work per held message in each dispatcher step
	HeldMemory  MechanismID = "held-memory"     // memory per held message
	HeldRestart MechanismID = "held-restart"    // time to read the held messages after a restart
	OutageAlone MechanismID = "outage-alone"    // detection of outages by each courier on its own
	FullList    MechanismID = "full-list"       // full endpoint list on each courier
	Membership  MechanismID = "flat-membership" // membership in which every courier knows all others
	Sharing     MechanismID = "flat-sharing"    // quota exchange between all couriers
	HandOut     MechanismID = "hand-out"        // distribution of settings to the couriers
	Connections MechanismID = "connections"     // connections to destinations
	OnlyCopy    MechanismID = "only-copy"       // storage of each message on a single disk
)

// Mechanism is a mechanism of pineport with the one that would replace it in a larger fleet.
type Mechanism struct {
	ID            MechanismID `json:"id"`
	Current       string      `json:"today"`
	Replacement   string      `json:"missing"`
	OnMessagePath bool        `json:"on_a_messages_way"`
	// NotMeasurable describes the part of the task of the mechanism that no run can measure today; empty: there is none.
	NotMeasurable string `json:"unshown,omitempty"`
}

// Mechanisms returns all mechanisms. Their order does not express a ranking.
func Mechanisms() []Mechanism {
	return []Mechanism{
		{HeldWork, "each dispatcher step visits all held messages", "dispatcher steps that visit only what is due or has changed, with timers and an index", true, ""},
		{HeldMemory, "dispatcher, router and spool keep every held message in memory", "the backlog of an open breaker on disk, with only its oldest messages in memory", true, ""},
		{HeldRestart, "a restarted courier reads every held message before it is ready", "a restart that reads the oldest messages of the backlog first, and the rest while the courier serves", true, ""},
		{OutageAlone, "each courier detects an outage by its own calls only", "breaker states shared between couriers, and one trial for the whole fleet under a lease", true, ""},
		{FullList, "each courier knows every destination, and each change of the list visits all of them", "subscriptions: a courier knows only the destinations that it uses, and gets changes as deltas with a generation", true, ""},
		{Membership, "flat membership: every courier knows every other courier", "cells: full membership within a zone, and a digest of each other zone", false, ""},
		{Sharing, "quota shares of limits among all couriers, with every courier sending its counts to all others", "hierarchical quota: leases of limits in a tree of courier, zone and region", false, ""},
		{HandOut, "no distribution of changes: each courier rereads its own file on a signal, and gets the endpoint list from discovery", "changes distributed in stages by the machines set aside for control", false,
			"nothing distributes settings to all couriers today, so no run can show at which size that would fail"},
		{Connections, "one connection for each destination that is called, closed when idle", "ownership: a rendezvous hash assigns each destination to a few couriers, which keep their connections open", true, ""},
		{OnlyCopy, "one copy of each accepted message, on the disk of its courier", "a second copy before a message is accepted; not required so far", true,
			"the messages on a failed disk are lost at any fleet size"},
	}
}

// MechanismOf returns the mechanism with the given ID.
func MechanismOf(id MechanismID) (Mechanism, bool) {
	for _, mechanism := range Mechanisms() {
		if mechanism.ID == id {
			return mechanism, true
		}
	}
	return Mechanism{}, false
}
