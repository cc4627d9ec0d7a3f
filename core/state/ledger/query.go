package ledger

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmoncross/core/state/record"
)

// Bills returns at most limit settled requests after the serial number, in the
// order of settlement, without their answers.
func (l *Ledger) Bills(after uint64, limit int) []*record.Request {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var list []*record.Request
	for _, r := range l.requests {
		if r.GetSerial() > after {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *record.Request) int { return cmp.Compare(a.GetSerial(), b.GetSerial()) })
	list = list[:min(limit, len(list))]
	for i, r := range list {
		list[i] = withoutAnswer(r)
	}
	return list
}

// Totals returns what each organisation used of each version.
func (l *Ledger) Totals() []*record.Total {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var list []*record.Total
	for _, t := range l.totals {
		list = append(list, proto.Clone(t).(*record.Total))
	}
	slices.SortFunc(list, func(a, b *record.Total) int {
		return cmp.Or(cmp.Compare(a.GetOrganisation(), b.GetOrganisation()), cmp.Compare(a.GetVersion(), b.GetVersion()))
	})
	return list
}

// Open returns the claims that have stood unsettled for longer than age at
// the time now.
func (l *Ledger) Open(now time.Time, age time.Duration) []*record.Request {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var list []*record.Request
	for _, r := range l.requests {
		if r.GetSettled() == 0 && now.UnixNano()-r.GetOpened() > int64(age) {
			list = append(list, withoutAnswer(r))
		}
	}
	return list
}

// Sizes returns how many requests, sessions and bytes of answers are kept.
func (l *Ledger) Sizes() (requests, sessions, answers int) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.requests), len(l.sessions), l.kept
}

func withoutAnswer(r *record.Request) *record.Request {
	return &record.Request{
		Organisation: r.GetOrganisation(),
		Key:          r.GetKey(),
		Owner:        r.GetOwner(),
		Once:         r.GetOnce(),
		Opened:       r.GetOpened(),
		Settled:      r.GetSettled(),
		Outcome:      r.GetOutcome(),
		Lines:        r.GetLines(),
		Request:      r.GetRequest(),
		Serial:       r.GetSerial(),
	}
}
