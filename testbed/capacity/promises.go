package capacity

// Promise states what one area guarantees, and what it does not, while parts of a fleet cannot reach each other.
type Promise struct {
	Piece       string   `json:"piece"`
	Holds       string   `json:"holds"`
	DoesNotHold string   `json:"does_not_hold"`
	Page        string   `json:"page"`     // that documents it
	Package     string   `json:"package"`  // whose tests check it
	ShownBy     []string `json:"shown_by"` // names of the tests
}

// Promises returns all guarantees: first those along the path of a message, then those on control traffic, which is anything but messages.
func Promises() []Promise {
	return []Promise{
		{"accepted messages", "the courier that accepted a message delivers it or reports its outcome without any other courier; no part of its path waits for another courier",
			"a second copy: the messages on a lost disk are lost", "docs/design.md", "spool", []string{"TestReopenRestoresMessages", "TestTruncationAtEveryByte"}},
		{"dispatcher decisions", "without packets from others, each decision is the same as that of a single courier; no rule depends on a packet of another courier",
			"that a courier detects an outage earlier than by its own calls", "docs/quota.md", "dispatch", []string{"TestExpiredLeasesHaveNoEffect", "TestSharedLoadOnlySlowsDown"}},
		{"the fleet size that quota shares are computed from", "reports of others never reduce it: alive, suspected, unknown and failed members all count, so quota shares only shrink",
			"that two couriers have the same view; that a failure is detected within a fixed time", "docs/membership.md", "membership",
			[]string{"TestPartitionedMemberCountsTheLargest", "TestEveryOrder", "TestRandomWalks"}},
		{"a partition and its end", "each side counts the members of the other; after it ends every member sees all others again",
			"that a courier that was removed is distinguished from one that is partitioned: an operator has to tell each courier", "docs/membership.md", "membership/gossip",
			[]string{"TestPartitionAndHeal", "TestOneWay"}},
		{"a courier that was suspended", "it does not use its own membership state until three other members have answered, and declares no member as failed for 10 s",
			"that the others wait for it", "docs/membership.md", "membership", []string{"TestRecoveringTrustsNothing", "TestRecoveryEnds"}},
		{"names and incarnations", "packets about an earlier incarnation have no effect; a courier that starts with an older folder continues with a higher incarnation",
			"that replayed packets are rejected; without a key, packets from anybody who can reach the address are accepted", "docs/membership.md", "membership/gossip",
			[]string{"TestStaleIncarnationAndNameConflict", "TestReplays"}},
		{"shared limits", "the quota shares in use never add up to more than the limit, even if packets are lost, delayed, duplicated or replayed; a lease expires 4 s after it was requested",
			"that an unused quota share is found; that a reported load is exact; that quota is lent across a partition", "docs/quota.md", "quota",
			[]string{"TestEveryOrder", "TestRandomWalks", "TestFleetChanges"}},
		{"learned state", "an older snapshot never makes a courier less cautious than a newer one; a snapshot older than 30 s is not used",
			"that any routes but the most recently called ones are kept", "docs/learned-state.md", "dispatch", []string{"TestOlderSnapshotIsMoreCautious"}},
		{"the endpoint list", "a courier keeps its current list; a truncated list is applied up to the truncation, and then polled again",
			"that two couriers have the same list at the same time", "docs/design.md", "server", []string{"TestTruncatedListIsPolledAgain", "TestDiscoverySilentAfterAnyByte"}},
		{"settings", "a courier keeps its current settings; a faulty file has no effect",
			"that a change takes effect on an unreachable courier, or on all couriers at the same time: nothing distributes changes", "docs/settings-design.md", "cmd/pineport",
			[]string{"TestSettingsUnderFire"}},
	}
}
