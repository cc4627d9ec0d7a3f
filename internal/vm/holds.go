package vm

import (
	"strconv"
	"strings"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
	"persimmoncross/io/protocol/wire"
)

// How requests that end upstreams are known at all VMs: each asks the others each
// second for what they saw, adds it up with its own, and judges by itself. All come
// to the same, and none waits for a leader.

// Of holds and cases.
const (
	casesInAll = 4096 // that are judged: 1 MB
	// endSpan is how far apart two VMs may see one upstream end. An upstream keeps its
	// name over its lives, and VMs learn of another one at different times: its end is
	// named by when it came.
	endSpan = 500 * time.Millisecond
)

// ownCases returns what this VM saw, with ends named as all VMs name them.
func (v *VM) ownCases(now time.Time) []quarantine.Record {
	cases, _ := v.book.Records(0, now)
	for _, c := range cases {
		for i, e := range c.Crashes {
			name, _, _ := strings.Cut(e.InstanceID, "~")
			at := v.presence.stamp() - int64(now.Sub(e.At))
			c.Crashes[i].InstanceID = name + "~" + strconv.FormatInt(at/int64(endSpan), 36)
		}
	}
	return cases
}

// judgeHolds adds up what all VMs told last.
func (v *VM) judgeHolds(answers []*wire.Status) {
	now := v.Clock.Now()
	lists := [][]quarantine.Record{v.ownCases(now)}
	for _, s := range v.presence.others() {
		lists = append(lists, wire.Cases(s.status.GetCases(), s.sentAt))
	}
	var holds []persimmoncross.Quarantine
	alone := true
	for _, s := range answers {
		if s != nil && s.GetVm() != v.Local.Name {
			holds = append(holds, wire.Holds(s.GetHolds())...)
			alone = false
		}
	}
	if !alone {
		v.keeper.Bootstrap(holds, now)
	}
	quarantine.LogChanges(v.Log, v.keeper.Evaluate(quarantine.Merge(lists, casesInAll), now), now, nil)
}

// others returns what the other VMs said last.
func (p *presence) others() []seenStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []seenStatus
	for name, s := range p.seen {
		if name != p.vm.Local.Name {
			list = append(list, s)
		}
	}
	return list
}
