package node

import (
	"context"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
	"persimmoncross/core/coordination/ratelimit"
	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/peer"
)

// reportReceiver is a controller that passes on the reports it receives.
type reportReceiver chan *wire.Account

func (reportReceiver) Receive(persimmoncross.Message) {}

func (r reportReceiver) Call(ctx context.Context, _ *wire.Call, s *peer.Stream) {
	if s.Send(&wire.Update{
		Leased: true,
	}) != nil {
		return
	}
	for {
		a := &wire.Account{}
		if s.Receive(a) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case r <- a:
		}
	}
}

// skippingClock is a clock whose waits end at once.
type skippingClock struct{ now time.Time }

func (c *skippingClock) Now() time.Time { return c.now }

func (c *skippingClock) After(d time.Duration) <-chan time.Time {
	c.now = c.now.Add(d)
	fired := make(chan time.Time, 1)
	fired <- c.now
	return fired
}

// Guards against a late report of a crash that no reading of the sender's clock corrects for seconds.
func TestReadingsFollowCases(t *testing.T) {
	reports := make(reportReceiver)
	f := newTestFollower(t, reports)
	found := findController(t, f)
	defer found.cancel()
	const casesAt = time.Second
	start := time.Unix(1000, 0)
	sent := false
	f.Clock = &skippingClock{
		now: start,
	}
	f.Entry = true
	f.Limits = &ratelimit.Store{}
	f.Reports = func() []*wire.Account {
		return []*wire.Account{{
			Vm: f.Name,
		}}
	}
	f.LoadReport = func() []*wire.UpstreamLoad { return nil }
	f.CasesSince = func(version uint64, now time.Time) ([]*wire.Case, uint64) {
		if sent || now.Sub(start) < casesAt {
			return nil, version
		}
		sent = true
		return wire.FromCases([]quarantine.Record{{
			Digest:  testDigest(1),
			Service: "s",
		}}, now), version + 1
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.sendReports(ctx, found.stream)
	var last time.Duration // reading of the latest report
	for last < casesAt {
		a := <-reports
		last = time.Duration(a.GetReading()) * time.Microsecond
		if (len(a.GetCases()) > 0) != (last >= casesAt) {
			t.Fatalf("at %v: %v", last, a)
		}
	}
	for last < casesAt+clockReadingsTime-loadInterval {
		a := <-reports
		next := time.Duration(a.GetReading()) * time.Microsecond
		if next-last > loadInterval {
			t.Fatalf("after the cases at %v, no reading from %v to %v", casesAt, last, next)
		}
		last = next
	}
}
