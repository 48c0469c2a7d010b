package soak

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"pineport/testbed/faultproxy"
)

// Result is the outcome of a run.
type Result struct {
	Seed                int64          `json:"seed"`
	Accepted            int            `json:"accepted"`
	Rejected            int            `json:"rejected"`
	Delivered           int            `json:"delivered"`
	Notices             int            `json:"notices"`
	Failed              int            `json:"failed"`       // requests with an error reply other than -BUSY
	Unanswered          int            `json:"unanswered"`   // requests that were read and whose connection was closed without a reply
	Unread              int            `json:"unread"`       // requests that were not read before their connection was reset
	ToldWrongly         int            `json:"told_wrongly"` // messages that were delivered and had a notice too
	SelfExits           int            `json:"self_exits"`   // processes that ended by themselves after SIGTERM
	Killed              int            `json:"killed"`       // processes that were ended by a SIGKILL of the plan
	Overdue             int            `json:"overdue"`      // processes that were killed because they had not ended in time after SIGTERM
	FaultCounts         map[string]int `json:"struck"`       // how often each action or discovery fault took effect
	FaultsWithoutEffect []string       `json:"not_struck"`   // actions of the plan that never took effect, and so were not tested
	Breaches            []string       `json:"breaches"`
	Dir                 string         `json:"folder,omitempty"` // folder with the log and the timeline, if the run broke a rule
}

// awaitOutcomes waits until every accepted message has ended or is overdue.
func (r *run) awaitOutcomes() {
	r.mu.Lock()
	r.activeFaults = nil
	outages := slices.Clone(r.outages)
	r.mu.Unlock()
	for _, q := range r.clients.all() {
		for q.result == accepted && !r.hasOutcome(q.id) && time.Now().Before(dueAt(q.deadline(), outages).Add(overdueWait)) {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// overdueWait is how long the run waits for an overdue message, so that a late end can be told from a missing one.
const overdueWait = 2 * time.Second

func (r *run) hasOutcome(id string) bool {
	_, deliveries, notices := r.standIns.MessageCalls(id)
	return deliveries > 0 || len(notices) > 0
}

// judgeRequests judges all requests.
func (r *run) judgeRequests(res *Result) {
	r.mu.Lock()
	res.SelfExits, res.Killed, res.Overdue = r.selfExits, r.killed, r.overdue
	j := &judge{events: r.standIns.Events, outages: slices.Clone(r.outages), crowded: r.plan.isCrowded(), result: res, start: r.startedAt,
		notices: func(id string) []string { _, _, notices := r.standIns.MessageCalls(id); return notices }}
	r.mu.Unlock()
	for _, q := range r.clients.all() {
		j.request(q)
		started, _, _ := r.standIns.MessageCalls(q.id)
		j.atMostOnce(q, started)
	}
	if res.Accepted == 0 {
		res.Breaches = append(res.Breaches, "no message was accepted")
	}
}

// result checks the completed run, and writes the timeline of a run that broke a rule.
func (r *run) result() (*Result, error) {
	res := &Result{Seed: r.options.Seed, FaultCounts: map[string]int{}}
	r.judgeRequests(res)
	for fault, n := range r.proxy.FaultCounts() {
		if fault != faultproxy.None {
			res.FaultCounts["discovery "+fault.String()] += n
		}
	}
	r.mu.Lock()
	for name, n := range r.faultCounts {
		res.FaultCounts[name] += n
	}
	res.Breaches = slices.Concat(r.breaches, res.Breaches) // what ended a process first, then the requests that suffered from it
	for _, a := range r.plan.actions {
		if res.FaultCounts[a.name] == 0 && !slices.Contains(res.FaultsWithoutEffect, a.name) {
			res.FaultsWithoutEffect = append(res.FaultsWithoutEffect, a.name)
		}
	}
	timeline := strings.Join(r.timeline, "\n")
	r.mu.Unlock()
	if len(res.Breaches) == 0 {
		return res, nil
	}
	res.Dir = r.dir
	for _, call := range r.proxy.Calls() {
		timeline += fmt.Sprintf("\n%8.3f discovery %s %s %v, answered %.3f", call.Read.Sub(r.startedAt).Seconds(), call.Path, call.Query.Encode(), call.Fault, call.Answered.Sub(r.startedAt).Seconds())
	}
	return res, errors.Join(os.WriteFile(filepath.Join(r.dir, "timeline"), []byte(timeline+"\n"+strings.Join(res.Breaches, "\n")), 0o644))
}
