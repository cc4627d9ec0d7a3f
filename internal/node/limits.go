package node

import (
	"time"

	"persimmoncross/core/coordination/ratelimit"
	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/peer"
)

// How all entries know of an upstream's limit: the one that hears of it tells the controller
// that it follows, which tells its other followers, and the leader, at once. What is told is
// a fact of the upstream: it needs no leader to be true.

// takeLimits takes facts, and lets the followers be told of what is news.
func (h *hub) takeLimits(facts []ratelimit.Fact) {
	if len(facts) == 0 || len(h.limits.Take(facts, h.clock.Now())) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wake()
}

// tellLimits puts what is news into an update for a follower.
func (h *hub) tellLimits(u *wire.Update, s *sent) {
	var news []ratelimit.Fact
	news, s.limits, s.limitsMore = h.limits.Since(s.limits, limitsAtOnce)
	u.Limits = wireLimits(news, h.clock.Now())
}

// sendLimits tells the controller that is followed what became news after the count, and
// returns the count after it.
func (f *follower) sendLimits(s *peer.Stream, count uint64) (uint64, error) {
	for more := true; more; {
		var facts []ratelimit.Fact
		facts, count, more = f.Limits.Since(count, limitsAtOnce)
		if len(facts) == 0 {
			continue
		}
		if err := s.Send(&wire.Account{Limits: wireLimits(facts, f.Clock.Now())}); err != nil {
			return count, err
		}
	}
	return count, nil
}

// limitsAtOnce is how many limits one message carries: some KB.
const limitsAtOnce = 100

func wireLimits(facts []ratelimit.Fact, now time.Time) []*wire.Limit {
	var list []*wire.Limit
	for _, f := range facts {
		list = append(list, &wire.Limit{
			Life: f.Life,
			Rate: float32(f.Rate),
			Age:  uint32(max(now.Sub(f.At), 0) / time.Millisecond),
		})
	}
	return list
}

func limitsOf(list []*wire.Limit, now time.Time) []ratelimit.Fact {
	var facts []ratelimit.Fact
	for _, x := range list {
		facts = append(facts, ratelimit.Fact{
			Life: x.GetLife(),
			Rate: float64(x.GetRate()),
			At:   now.Add(-time.Duration(x.GetAge()) * time.Millisecond),
		})
	}
	return facts
}
