package capacity

// Promise is one piece of what holds, and what doesn't, while parts of a fleet cannot hear each other.
type Promise struct {
	Piece   string   `json:"piece"`
	Holds   string   `json:"holds"`
	Not     string   `json:"does_not_hold"`
	Page    string   `json:"page"`     // that says so
	Package string   `json:"package"`  // whose tests hold it
	ShownBy []string `json:"shown_by"` // names of those tests
}

// Promises are all pieces, in the order of a message's way and then of control.
func Promises() []Promise {
	return []Promise{
		{"messages taken on", "each is delivered or answered by the courier that took it, alone; nothing on its way waits for another courier",
			"a second copy: what is on a lost disk is lost", "docs/design.md", "spool", []string{"TestReopenRestoresMessages", "TestTruncationAtEveryByte"}},
		{"the decisions", "with nothing heard they are those of a courier alone, one by one; no rule rests on a word of another courier",
			"that outages are known sooner than a courier's own calls show them", "docs/quota.md", "dispatch", []string{"TestExpiredLeasesHaveNoEffect", "TestSharedLoadOnlySlowsDown"}},
		{"how many couriers to reckon with", "never fewer by what others say: alive, suspected, unknown and failed are all counted, so parts only shrink",
			"that two couriers have the same view; that a death is known within a bound", "docs/membership.md", "membership",
			[]string{"TestPartitionedMemberCountsTheLargest", "TestEveryOrder", "TestRandomWalks"}},
		{"a cut, and its end", "each side counts the other; all are whole again after it",
			"that a courier which is gone for good is told from one that is cut off: an operator says so, to each courier", "docs/membership.md", "membership/gossip",
			[]string{"TestPartitionAndHeal", "TestOneWay"}},
		{"a courier that stood still", "it believes nothing until three others have answered, and gives nobody up for 10 s",
			"that the others wait for it", "docs/membership.md", "membership", []string{"TestRecoveringTrustsNothing", "TestRecoveryEnds"}},
		{"names and starts", "words on a start that is over say nothing; an older folder goes on under a higher number",
			"that replayed words are refused; without a key whoever reaches the address is heard", "docs/membership.md", "membership/gossip",
			[]string{"TestStaleIncarnationAndNameConflict", "TestReplays"}},
		{"shared limits", "parts in use never sum to more than the limit, whatever words are lost, late, doubled or replayed; a loan lapses 4 s after it was asked for",
			"that a part that lies idle is found; that a load is right; across a cut nothing is lent", "docs/quota.md", "quota",
			[]string{"TestEveryOrder", "TestRandomWalks", "TestFleetChanges"}},
		{"what was learned", "an older file makes no bolder than a younger one; nothing older than 30 s is believed",
			"that more than the routes called last are kept", "docs/learned-state.md", "dispatch", []string{"TestOlderSnapshotIsMoreCautious"}},
		{"the list of endpoints", "a courier goes on with the list that it has; one that broke off is heeded as far as it came, and asked for again",
			"that two couriers have the same list at the same time", "docs/design.md", "server", []string{"TestTruncatedListIsPolledAgain", "TestDiscoverySilentAfterAnyByte"}},
		{"settings", "a courier goes on with the settings that it has; a faulty file changes nothing",
			"that a change reaches a courier that cannot be reached, or all at the same time: nothing hands changes out", "docs/settings-design.md", "cmd/pineport",
			[]string{"TestSettingsUnderFire"}},
	}
}
