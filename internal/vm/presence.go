package vm

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"persimmoncross/core/coordination/quarantine"
	"persimmoncross/io/protocol/wire"
)

// Times of the view of the other VMs.
const (
	presenceEvery = time.Second
	presenceWait  = 500 * time.Millisecond // for one VM's answer
	presenceTrust = 3 * time.Second
)

func durationOf(n int64) time.Duration { return time.Duration(n) }

// presence keeps what the other VMs said of themselves last.
type presence struct {
	vm *VM

	time atomic.Pointer[fleetTime]

	mu     sync.Mutex // guards the fields below
	seen   map[string]seenStatus
	clocks map[string]*quarantine.SenderClock // by VM and incarnation
}

// fleetTime is the median of the VMs' clocks at a moment of this VM's own
// monotonic clock. The ledger's time only moves forward; one VM whose clock
// jumps ahead must not make it forget sessions and keys.
type fleetTime struct {
	unix int64 // nanoseconds
	at   time.Time
}

// stamp returns the fleet's time, in Unix nanoseconds.
func (p *presence) stamp() int64 {
	now := p.vm.Clock.Now()
	t := p.time.Load()
	if t == nil {
		return now.UnixNano()
	}
	return t.unix + int64(now.Sub(t.at))
}

// setTime takes the median of the clocks that were told, this VM's among them.
func (p *presence) setTime(answers []*wire.Status) {
	var times []int64
	for _, a := range answers {
		if a != nil {
			times = append(times, a.GetTime())
		}
	}
	slices.Sort(times)
	p.time.Store(&fleetTime{
		unix: times[(len(times)-1)/2],
		at:   p.vm.Clock.Now(),
	})
}

type seenStatus struct {
	status *wire.Status
	at     time.Time // when it was received
	// sentAt is when the status was made, in this VM's time. Ages in it are relative to that.
	sentAt time.Time
}

func (p *presence) run(ctx context.Context) {
	for {
		p.vm.judgeHolds(p.ask(ctx))
		p.vm.limits.SetPeerUsage(p.loads())
		select {
		case <-ctx.Done():
			return
		case <-p.vm.Clock.After(presenceEvery):
		}
	}
}

// ask asks all VMs at once and returns the answers, nil for those that gave
// none in time.
func (p *presence) ask(ctx context.Context) []*wire.Status {
	names := p.vm.vmNames()
	answers := make([]*wire.Status, len(names))
	var group sync.WaitGroup
	for i, name := range names {
		group.Go(func() {
			answers[i] = p.askOne(ctx, name)
			p.record(answers[i], p.vm.Clock.Now())
		})
	}
	group.Wait()
	p.setTime(answers)
	return answers
}

// record keeps an answer, nil for none.
func (p *presence) record(status *wire.Status, receivedAt time.Time) {
	if status == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.seen == nil {
		p.seen = map[string]seenStatus{}
	}
	a := seenStatus{
		status: status,
		at:     receivedAt,
	}
	a.sentAt = p.sentAt(a)
	p.seen[status.GetVm()] = a
}

// sentAt estimates when a status was made, in this VM's time. The answers of two VMs can differ
// in their delays by more than what tells two crashes from one. The caller holds mu.
func (p *presence) sentAt(a seenStatus) time.Time {
	sender := a.status.GetVm() + "#" + a.status.GetIncarnation()
	clock := p.clocks[sender]
	if clock == nil {
		for known := range p.clocks {
			if vm, _, _ := strings.Cut(known, "#"); vm == a.status.GetVm() {
				delete(p.clocks, known)
			}
		}
		if p.clocks == nil {
			p.clocks = map[string]*quarantine.SenderClock{}
		}
		clock = &quarantine.SenderClock{}
		p.clocks[sender] = clock
	}
	sentAt, _ := clock.SentAt(time.Duration(a.status.GetTime()), a.at)
	return sentAt
}

func (p *presence) askOne(ctx context.Context, name string) *wire.Status {
	if name == p.vm.Local.Name {
		return p.vm.status()
	}
	ctx, cancel := context.WithTimeout(ctx, presenceWait)
	defer cancel()
	s, err := p.vm.node.Call(ctx, name, &wire.Call{
		Body: &wire.Call_Report{
			Report: &wire.Report{
				Vm: p.vm.Local.Name,
			},
		},
	})
	if err != nil {
		return nil
	}
	defer s.Close()
	status := &wire.Status{}
	if err := s.Receive(status); err != nil {
		return nil
	}
	return status
}

// entries returns how many VMs take callers' work, this one included.
func (p *presence) entries() int {
	now := p.vm.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for name, s := range p.seen {
		if name != p.vm.Local.Name && now.Sub(s.at) < presenceTrust && s.status.GetLease() && !s.status.GetDraining() {
			n++
		}
	}
	return n + 1
}

// loads adds up what the other VMs run, by pool and organisation.
func (p *presence) loads() map[string]map[string]int {
	now := p.vm.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	sums := map[string]map[string]int{}
	for name, s := range p.seen {
		if name == p.vm.Local.Name || now.Sub(s.at) >= presenceTrust {
			continue
		}
		for _, l := range s.status.GetLoads() {
			if sums[l.GetPool()] == nil {
				sums[l.GetPool()] = map[string]int{}
			}
			sums[l.GetPool()][l.GetOrganisation()] += int(l.GetRunning())
		}
	}
	return sums
}

// latest returns a VM's last status and its age.
func (p *presence) latest(name string) (*wire.Status, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.seen[name]
	if !ok {
		return nil, 0
	}
	return s.status, p.vm.Clock.Now().Sub(s.at)
}
