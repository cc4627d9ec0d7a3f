package node

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// Limits promised to operators for requests that share a part of their prompts which crashes upstreams: at most
// maxRequestsAfterDetection of them reach upstreams later than maxDetectionTime after the fifth crash, and
// from twice that time on sound requests with the same first part begin at least half as often as before.
const (
	partCrashes         = 5
	minPartCrashes      = 4 // that a part may be refused after; from the last one then, no more than allowed after the fifth
	minSoundFraction    = 0.5
	crashesBeginAfter   = 2 * time.Second
	partTestDuration    = 14 * time.Second
	crashingPerSecond   = 10
	soundPerRound       = 3 // with each crashing request
	soundVariantsOfPart = 3
)

// TestPartThatCrashesUpstreamsIsRefused guards against requests that differ but share one crashing part.
func TestPartThatCrashesUpstreamsIsRefused(t *testing.T) {
	for i, tt := range []struct {
		name     string
		crashing [][]string // parts of crashing requests without their own, by kind
		sound    []string   // parts that sound requests share with them
	}{
		{"middle", [][]string{{"system", "bad"}}, []string{"system"}},
		{"first", [][]string{{"bad", "document"}}, []string{"system", "document"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			_, upstreams, entries := newRunningFleet(t, 100+i, 12)
			upstreams.mu.Lock()
			upstreams.eventsPerStream = 20
			upstreams.eventInterval = 25 * time.Millisecond
			upstreams.restartDelay = 1200 * time.Millisecond
			upstreams.mu.Unlock()
			checkCrashingParts(t, upstreams, entries, partLoad{
				crashing: tt.crashing,
				sound:    tt.sound,
			})
		})
	}
}

// TestTwoPartsThatCrashUpstreamsAreRefused guards against a crashing part that hides behind another one.
func TestTwoPartsThatCrashUpstreamsAreRefused(t *testing.T) {
	t.Parallel()
	_, upstreams, entries := newRunningFleet(t, 102, 12)
	upstreams.mu.Lock()
	upstreams.eventsPerStream = 20
	upstreams.eventInterval = 25 * time.Millisecond
	upstreams.restartDelay = 1200 * time.Millisecond
	upstreams.mu.Unlock()
	checkCrashingParts(t, upstreams, entries, partLoad{
		crashing: [][]string{{"system", "bad1"}, {"system", "bad2"}},
		sound:    []string{"system"},
	})
}

// partLoad is a load of requests with crashing parts and of sound ones.
type partLoad struct {
	crashing          [][]string // parts of crashing requests without their own, by kind
	sound             []string   // parts that sound requests share with them
	crashingPerSecond int        // of each kind; 0: crashingPerSecond
	duration          time.Duration
	soundFrom         time.Duration               // when the sound requests have to be served again
	organisations     []string                    // whose requests come in turn; none: no keys
	onRound           func(elapsed time.Duration) // may change the upstreams; called with each round of requests
}

// key returns the key of the nth request.
func (l partLoad) key(n int) string {
	if len(l.organisations) == 0 {
		return ""
	}
	return l.organisations[n%len(l.organisations)]
}

func checkCrashingParts(t *testing.T, upstreams *fakeUpstreamSet, entries []*Entry, load partLoad) {
	t.Helper()
	crashing, sound := load.crashing, load.sound
	perSecond := cmp.Or(load.crashingPerSecond, crashingPerSecond)
	partTestDuration := cmp.Or(load.duration, partTestDuration)
	soundFrom := cmp.Or(load.soundFrom, partTestDuration/2)
	var group sync.WaitGroup
	var mu sync.Mutex // guards all below
	type count struct{ sent, served int }
	var before, after count
	start := time.Now()
	sendSound := func(n int) {
		sentAt := time.Since(start)
		parts := append(slices.Clone(sound), fmt.Sprint("variant", n%soundVariantsOfPart), fmt.Sprint("own", n))
		_, refusal := sendKeyedPrompt(entries[n%len(entries)], load.key(n), "stream", fmt.Sprint("sound ", n), parts...)
		mu.Lock()
		defer mu.Unlock()
		c := &after
		if sentAt < crashesBeginAfter {
			c = &before
		} else if sentAt < soundFrom {
			return
		}
		c.sent++
		if refusal == nil {
			c.served++
		}
	}
	kind := func(k int) string { return fmt.Sprintf("%spart %d ", crashBodyPrefix, k) }
	for n := 0; time.Since(start) < partTestDuration; n++ {
		if load.onRound != nil {
			load.onRound(time.Since(start))
		}
		for i := range soundPerRound {
			group.Go(func() { sendSound(n*soundPerRound + i) })
		}
		if time.Since(start) >= crashesBeginAfter {
			for k, parts := range crashing {
				group.Go(func() {
					sendKeyedPrompt(entries[(n+k)%len(entries)], load.key(n), "stream", fmt.Sprint(kind(k), n), append(slices.Clone(parts), fmt.Sprint("own", n))...)
				})
			}
		}
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	group.Wait()
	for k := range crashing {
		crashes := upstreams.crashTimesOf(kind(k))
		if len(crashes) < minPartCrashes {
			t.Errorf("kind %d: %d crashes, want at least %d", k, len(crashes), minPartCrashes)
			continue
		}
		counted := crashes[min(len(crashes), partCrashes)-1]
		if n := upstreams.requestCountOf(kind(k), counted.Add(maxDetectionTime)); n > maxRequestsAfterDetection {
			t.Errorf("kind %d: %d requests reached upstreams later than %v after the %dth of %d crashes, want at most %d", k, n, maxDetectionTime, min(len(crashes), partCrashes), len(crashes), maxRequestsAfterDetection)
		}
		t.Logf("kind %d: %d crashes, the last one %v after the first", k, len(crashes), crashes[len(crashes)-1].Sub(crashes[0]).Round(time.Millisecond))
	}
	if float64(after.served)*float64(before.sent) < minSoundFraction*float64(before.served)*float64(after.sent) {
		t.Errorf("sound requests: %d of %d served, before %d of %d", after.served, after.sent, before.served, before.sent)
	}
	t.Logf("sound requests: %+v, before %+v", after, before)
}

// crashTimesOf returns when requests whose body has the prefix crashed upstreams, in order.
func (s *fakeUpstreamSet) crashTimesOf(prefix string) (times []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for body, list := range s.crashTimes {
		if strings.HasPrefix(body, prefix) {
			times = append(times, list...)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// requestCountOf returns how many requests whose body has the prefix arrived after the time.
func (s *fakeUpstreamSet) requestCountOf(prefix string, after time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.requests {
		if strings.HasPrefix(r.body, prefix) && r.at.After(after) {
			n++
		}
	}
	return n
}
