package relay

import (
	"testing"
	"time"

	"persimmoncross"
)

// One of many entries makes a small part of an upstream's work: what the others
// await there turns a prompt away from its home too, for as long as it is known.
func TestOthersWorkIsSeen(t *testing.T) {
	now := time.Unix(100, 0)
	reread := 50 * time.Millisecond
	tests := []struct {
		what   string
		work   time.Duration // that others await at the home
		told   *persimmoncross.Load
		later  time.Duration // after the account came
		reread time.Duration
		moves  bool
	}{
		{
			what:   "nothing is awaited",
			reread: reread,
		},
		{
			what:   "less than the shared parts take to be read again",
			work:   spillWait + reread,
			reread: reread,
		},
		{
			what:   "a long prompt is read",
			work:   2 * time.Second,
			reread: reread,
			moves:  true,
		},
		{
			what:  "the account is old",
			work:  2 * time.Second,
			later: loadAge,
		},
		{
			what: "every slot is taken",
			told: &persimmoncross.Load{
				Running: 10,
				Waiting: 4,
			},
			moves: true,
		},
	}
	for _, tt := range tests {
		all := targets(4)
		home := place(all, "part", 0, now, 0)
		home.learn(FleetLoad{
			Work: tt.work,
			Told: tt.told,
		}, now)
		if got := place(all, "part", tt.reread, now.Add(tt.later+time.Millisecond), 0); (got != home) != tt.moves {
			t.Errorf("%s: moved: %v, want %v", tt.what, got != home, tt.moves)
		}
	}
}

// What an entry awaits is in its account until the answer begins; what an
// upstream told is in one account.
func TestOwnLoads(t *testing.T) {
	clock := &leaping{
		now: time.Unix(100, 0),
	}
	p := &Pool{
		Clock: clock,
	}
	target := p.Update([]persimmoncross.Upstream{
		{
			Incarnation: "u",
			Service:     "s",
		},
	})["s"][0]
	end := target.ask(clock.Now(), time.Second)
	target.note(&persimmoncross.Load{
		Running: 3,
		Waiting: 2,
	}, clock.Now())
	first := p.Loads()
	if len(first) != 1 || first[0].Work != time.Second || first[0].Told == nil || first[0].Told.Waiting != 2 {
		t.Fatalf("the account is %+v", first)
	}
	if next := p.Loads(); len(next) != 1 || next[0].Told != nil || next[0].Work != time.Second {
		t.Errorf("the next account is %+v", next)
	}
	end(clock.Now(), true)
	if last := p.Loads(); len(last) != 0 {
		t.Errorf("the account after the answer began is %+v", last)
	}
	p.Learn([]FleetLoad{
		{
			Incarnation: "u",
			Work:        3 * time.Second,
		},
		{
			Incarnation: "gone",
		},
	})
	if got := target.reading(clock.Now()); got != 3*time.Second {
		t.Errorf("%v of reading is awaited, want 3 s", got)
	}
	target.ask(clock.Now(), time.Second)
	if got := target.reading(clock.Now()); got != 4*time.Second {
		t.Errorf("with an own prompt sent since %v, want 4 s", got)
	}
}

// The time that a model takes to read is learnt from answers that waited for no
// other.
func TestReadingTime(t *testing.T) {
	p := &Pressure{}
	now := time.Unix(100, 0)
	if got := p.reading("s", "m", 1000); got != 0 {
		t.Errorf("an unknown model reads in %v", got)
	}
	for i := range 100 {
		p.begin("s", "m", 1000, now)(now, true)
		p.read("s", "m", 1000+i, time.Duration(1000+i)*50*time.Microsecond)
	}
	if got := p.reading("s", "m", 10000).Round(time.Millisecond); got != 500*time.Millisecond {
		t.Errorf("10,000 tokens are read in %v, want 500 ms", got)
	}
}
