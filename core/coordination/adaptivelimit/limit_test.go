package adaptivelimit

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

const (
	testStep     = time.Millisecond
	testCapacity = 200.0 // requests per second
)

// fullLink is a link that carries testCapacity requests per second, in order, beside the process's connections.
type fullLink struct {
	limit     Limit
	now       time.Time
	nextAt    time.Time // when the next request comes
	freeAt    time.Time // when all that was accepted has gone through
	random    *rand.Rand
	open      bool
	connects  []pendingConnect
	delays    []time.Duration // of the requests read, since reset
	read      int
	peerAlive bool // round trips to peers are not delayed
}

type pendingConnect struct {
	connecting *Connecting
	doneAt     time.Time
}

func newFullLink() *fullLink {
	start := time.Unix(1000, 0)
	return &fullLink{
		now:    start,
		freeAt: start,
		random: rand.New(rand.NewPCG(1, 2)),
		open:   true,
	}
}

// run has requests come at the rate, each on a new connection.
func (f *fullLink) run(rate float64, d time.Duration) {
	f.delays, f.read = nil, 0
	f.nextAt = f.now
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(testStep) {
		for f.nextAt.Before(f.now) {
			f.arrive()
			f.nextAt = f.nextAt.Add(time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)))
		}
		if !f.open {
			f.open = f.limit.HasBurst(f.now)
		}
		for len(f.connects) > 0 && !f.connects[0].doneAt.After(f.now) {
			f.limit.Connected(f.connects[0].connecting, f.now)
			f.connects = f.connects[1:]
		}
	}
}

func (f *fullLink) arrive() {
	if !f.open {
		return
	}
	f.limit.Count(f.now)
	f.open = f.limit.HasRoom(f.now)
	if f.freeAt.Before(f.now) {
		f.freeAt = f.now
	}
	f.freeAt = f.freeAt.Add(time.Duration(float64(time.Second) / testCapacity))
	f.read++
	f.delays = append(f.delays, f.freeAt.Sub(f.now))
	if !f.peerAlive {
		f.limit.SetPeerDelay(f.freeAt.Sub(f.now))
	}
	f.connects = append(f.connects, pendingConnect{
		connecting: f.limit.Connect(netip.MustParseAddrPort("127.0.0.1:1"), f.now),
		doneAt:     f.freeAt.Add(testStep),
	})
}

// Guards against a process that reads more than its link carries, and against one that then reads far less.
func TestLimitFollowsCapacity(t *testing.T) {
	for _, rate := range []float64{1.5, 3, 8} {
		f := newFullLink()
		f.run(0.4*testCapacity, 5*time.Second)
		if f.limit.InForce() {
			t.Fatalf("a limit is in force at 0.4 of the capacity")
		}
		f.run(rate*testCapacity, 2*time.Second)
		f.run(rate*testCapacity, 10*time.Second)
		late := 0
		for _, d := range f.delays {
			if d > 5*MaxDelay {
				late++
			}
		}
		t.Logf("%.1f times the capacity: %d read in 10 s, %d late", rate, f.read, late)
		if float64(late) > 0.05*float64(f.read) {
			t.Errorf("%.1f times the capacity: %d of %d requests wait over %v", rate, late, f.read, 5*MaxDelay)
		}
		if float64(f.read) < 0.75*testCapacity*10 {
			t.Errorf("%.1f times the capacity: %d requests are read in 10 s", rate, f.read)
		}
		f.run(0.4*testCapacity, 6*time.Second)
		if f.limit.InForce() {
			t.Errorf("%.1f times the capacity: the limit stays in force without need", rate)
		}
	}
}

// Guards against lost paths to upstreams that are taken for a full link.
func TestLostPathsLimitNothing(t *testing.T) {
	l := &Limit{}
	now := time.Unix(1000, 0)
	for range 400 {
		l.SetPeerDelay(0)
		c := l.Connect(netip.MustParseAddrPort("127.0.0.1:1"), now)
		l.Count(now)
		l.ConnectFailed(c, now.Add(700*time.Millisecond))
		now = now.Add(10 * time.Millisecond)
		if l.InForce() || !l.HasRoom(now) {
			t.Fatal("a limit is in force")
		}
	}
}

// Guards against requests whose callers send slowly, and waits for upstreams, that are taken for a short processor.
func TestWaitsForOthersLimitNothing(t *testing.T) {
	l := &Limit{}
	now := time.Unix(1000, 0)
	for range 100 {
		var requests [16]Request
		for i := range requests {
			l.Count(now)
			l.Begin(&requests[i], now)
			l.Pause(&requests[i], now)
		}
		now = now.Add(500 * time.Millisecond)
		for i := range requests {
			l.Resume(&requests[i], now)
			l.End(&requests[i], now.Add(time.Millisecond))
		}
		if l.InForce() {
			t.Fatal("a limit is in force")
		}
	}
}

// Guards against a short processor that is seen only once the requests have ended.
func TestLateRequestsCountBeforeTheyEnd(t *testing.T) {
	l := &Limit{}
	now := time.Unix(1000, 0)
	var calm [2 * minSamples]Request
	for i := range calm {
		l.Begin(&calm[i], now)
		l.End(&calm[i], now.Add(time.Millisecond))
		now = now.Add(evaluationInterval)
	}
	var late [2 * minSamples]Request
	for i := range late {
		l.Count(now)
		l.Begin(&late[i], now)
	}
	now = now.Add(10 * MaxDelay)
	if l.HasRoom(now) {
		t.Error("nothing is limited while requests wait for the processor")
	}
}

// Guards against a lossy link, or a peer that answers late, that is taken for too many requests.
func TestDelaysAtUsualRateRefuseLittle(t *testing.T) {
	l := &Limit{}
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(3, 4))
	come, read := 0, 0
	run := func(d, took time.Duration) {
		open := true
		for end := now.Add(d); now.Before(end); {
			now = now.Add(time.Duration(random.ExpFloat64() / 20 * float64(time.Second)))
			open = open || l.HasBurst(now)
			come++
			if !open {
				continue
			}
			read++
			l.Count(now)
			open = l.HasRoom(now)
			l.SetPeerDelay(took)
			c := l.Connect(netip.MustParseAddrPort("127.0.0.1:1"), now)
			l.Connected(c, now.Add(took))
		}
	}
	run(10*time.Second, time.Millisecond)
	come, read = 0, 0
	run(3*time.Second, 200*time.Millisecond)
	t.Logf("%d of %d are read", read, come)
	if float64(read) < 0.75*float64(come) {
		t.Errorf("%d of %d requests are read at the usual rate", read, come)
	}
}
