package node

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// partFleet returns a running fleet whose upstreams write streams of half a second and restart after a crash.
func partFleet(t *testing.T, subnet int, proxied bool) (*fakeUpstreamSet, []*Entry) {
	t.Helper()
	f := newFleet(t, subnet)
	upstreams := newFakeUpstreamsWithProxies(t, f.lister, 12, proxied)
	upstreams.mu.Lock()
	upstreams.eventsPerStream = 20
	upstreams.eventInterval = 25 * time.Millisecond
	upstreams.restartDelay = 1200 * time.Millisecond
	upstreams.mu.Unlock()
	return upstreams, f.startControllersAndEntries(12)
}

// TestPartThatCrashesBeforeTheHeadIsRefused guards against crashes before the response head that blame no part.
func TestPartThatCrashesBeforeTheHeadIsRefused(t *testing.T) {
	middle, first := []string{"system", "bad"}, []string{"bad", "document"}
	for i, tt := range []struct {
		name       string
		load       partLoad
		crashDelay time.Duration
		proxied    bool
	}{
		{"ten a second", partLoad{crashing: [][]string{middle}, sound: []string{"system"}}, 30 * time.Millisecond, false},
		{"thirty a second", partLoad{crashing: [][]string{middle}, sound: []string{"system"}, crashingPerSecond: 30}, 30 * time.Millisecond, false},
		{"two a second", partLoad{crashing: [][]string{middle}, sound: []string{"system"}, crashingPerSecond: 2, duration: 24 * time.Second}, 300 * time.Millisecond, false},
		{"first", partLoad{crashing: [][]string{first}, sound: []string{"system", "document"}}, 30 * time.Millisecond, false},
		{"two parts", partLoad{crashing: [][]string{{"system", "bad1"}, {"system", "bad2"}}, sound: []string{"system"}}, 30 * time.Millisecond, false},
		{"behind proxies", partLoad{crashing: [][]string{middle}, sound: []string{"system"}}, 30 * time.Millisecond, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			upstreams, entries := partFleet(t, 110+i, tt.proxied)
			upstreams.mu.Lock()
			upstreams.headless = true
			upstreams.crashDelay = tt.crashDelay
			upstreams.mu.Unlock()
			checkCrashingParts(t, upstreams, entries, tt.load)
		})
	}
}

// TestLaterPartIsRefused guards against crashing parts that stand behind many others in the prompt.
func TestLaterPartIsRefused(t *testing.T) {
	for i, count := range []int{8, 40} {
		t.Run(fmt.Sprint(count, " before it"), func(t *testing.T) {
			t.Parallel()
			var shared []string
			for n := range count {
				shared = append(shared, fmt.Sprint("shared", n))
			}
			upstreams, entries := partFleet(t, 120+i, false)
			checkCrashingParts(t, upstreams, entries, partLoad{
				crashing: [][]string{append(shared[:count:count], "bad")},
				sound:    shared,
			})
		})
	}
}

// TestErrorsClearNoPart guards against error responses that count as survived runs of a crashing part.
func TestErrorsClearNoPart(t *testing.T) {
	for i, tt := range []struct {
		name      string
		perSecond int
		duration  time.Duration
		headless  bool
	}{
		{"two a second", 2, 24 * time.Second, false},
		{"ten a second", 10, partTestDuration, false},
		{"ten a second before the head", 10, partTestDuration, true},
		{"two a second before the head", 2, 24 * time.Second, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			upstreams, entries := partFleet(t, 124+i, false)
			upstreams.mu.Lock()
			upstreams.failPercent = 40
			upstreams.headless = tt.headless
			upstreams.mu.Unlock()
			checkCrashingParts(t, upstreams, entries, partLoad{
				crashing:          [][]string{{"system", "bad"}},
				sound:             []string{"system"},
				crashingPerSecond: tt.perSecond,
				duration:          tt.duration,
			})
		})
	}
}

// TestErrorInTrialEndsNoRefusal guards against a trial that gets an error response and ends the refusal of its part.
func TestErrorInTrialEndsNoRefusal(t *testing.T) {
	t.Parallel()
	upstreams, entries := partFleet(t, 130, false)
	checkCrashingParts(t, upstreams, entries, partLoad{
		crashing:  [][]string{{"system", "bad"}},
		sound:     []string{"system"},
		duration:  50 * time.Second,
		soundFrom: 45 * time.Second,
		onRound: func(elapsed time.Duration) {
			upstreams.mu.Lock()
			defer upstreams.mu.Unlock()
			upstreams.failPercent = 0
			if elapsed > 20*time.Second && elapsed < 40*time.Second {
				upstreams.failPercent = 100
			}
		},
	})
}

// TestPartOfManyOrganisationsIsRefused guards against a crashing part that each organisation's requests have to show anew.
func TestPartOfManyOrganisationsIsRefused(t *testing.T) {
	for i, tt := range []struct {
		name      string
		perSecond int
		duration  time.Duration
	}{
		{"ten a second", 10, partTestDuration},
		{"two a second", 2, 30 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f, upstreams, entries := newRunningFleet(t, 132+i, 12)
			upstreams.mu.Lock()
			upstreams.eventsPerStream = 20
			upstreams.eventInterval = 25 * time.Millisecond
			upstreams.restartDelay = 1200 * time.Millisecond
			upstreams.mu.Unlock()
			var organisations []string
			for n := range 10 {
				organisations = append(organisations, fmt.Sprint("organisation", n))
			}
			document := "2 " + strings.Join(organisations, " ")
			f.declareDocument(f.processes["vm1"].controller, 2, []byte(document))
			for _, e := range entries {
				f.waitForDocument(e, 2)
			}
			checkCrashingParts(t, upstreams, entries, partLoad{
				crashing:          [][]string{{"system", "bad"}},
				sound:             []string{"system"},
				crashingPerSecond: tt.perSecond,
				duration:          tt.duration,
				organisations:     organisations,
			})
		})
	}
}
