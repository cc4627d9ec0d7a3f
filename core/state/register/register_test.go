package register_test

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"persimmoncross"
	"persimmoncross/core/state/register"
)

type log struct {
	r     *register.Register
	index uint64
}

func (l *log) apply(c register.Command) []byte {
	l.index++
	return l.r.Apply(persimmoncross.Entry{
		Index: l.index,
		Data:  register.Encode(c),
	})
}

func declare(number uint64, text string) register.Command {
	return register.Command{
		Declare: &register.Declare{
			Number:   number,
			Document: []byte(text),
		},
	}
}

func TestHighestNumberWins(t *testing.T) {
	l := &log{
		r: register.New(),
	}
	l.apply(declare(5, "five"))
	l.apply(declare(3, "three"))
	l.apply(declare(5, "another five"))
	s := l.r.Current()
	if s.Number != 5 || string(s.Document) != "five" {
		t.Fatalf("in force: %d %q", s.Number, s.Document)
	}
	l.apply(declare(9, "nine"))
	read, err := register.Decode(l.apply(register.Command{
		Read: true,
	}))
	if err != nil {
		t.Fatal(err)
	}
	if read.Number != 9 || string(read.Document) != "nine" {
		t.Errorf("read back: %d %q", read.Number, read.Document)
	}
}

func begin(target string) register.Command {
	return register.Command{
		Begin: &register.Upgrade{
			Service:  "s",
			Target:   target,
			Duration: 10 * time.Second,
		},
	}
}

func advance(order uint64, stage register.Stage) register.Command {
	return register.Command{
		Advance: &register.Advance{
			Service: "s",
			Order:   order,
			Stage:   stage,
		},
	}
}

func TestUpgradeStages(t *testing.T) {
	l := &log{
		r: register.New(),
	}
	l.apply(begin("v2"))
	order := l.r.Current().Upgrades["s"].Order
	l.apply(begin("v2")) // sent again after a lost answer
	if got := l.r.Current().Upgrades["s"].Order; got != order {
		t.Fatalf("the same order began again: %d, then %d", order, got)
	}
	for _, tt := range []struct {
		command register.Command
		want    register.Stage
	}{
		{advance(order, register.Trial), register.Trial},
		{advance(order, register.Shift), register.Shift},
		{advance(order, register.Trial), register.Shift}, // of a leader that lags
		{advance(order+7, register.Completed), register.Shift},
		{advance(order, register.Withdrawn), register.Withdrawn},
		{advance(order, register.Completed), register.Withdrawn},
		{begin("v2"), register.Withdrawn},
		{begin("v3"), register.Prepare},
	} {
		l.apply(tt.command)
		if got := l.r.Current().Upgrades["s"].Stage; got != tt.want {
			t.Errorf("stage %s, want %s", got, tt.want)
		}
	}
}

// A state that was handed out never changes, and a snapshot restores all of it.
func TestStatesAreImmutable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &log{
			r: register.New(),
		}
		type kept struct {
			s    *register.State
			data []byte
		}
		var all []kept
		for range rapid.IntRange(1, 30).Draw(t, "commands") {
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				l.apply(declare(rapid.Uint64Range(1, 8).Draw(t, "number"), "d"))
			case 1:
				l.apply(begin(rapid.SampledFrom([]string{"v2", "v3"}).Draw(t, "target")))
			case 2:
				stages := []register.Stage{register.Prepare, register.Trial, register.Shift, register.Completed, register.Withdrawn}
				l.apply(advance(rapid.Uint64Range(1, l.index+1).Draw(t, "order"), rapid.SampledFrom(stages).Draw(t, "stage")))
			}
			s := l.r.Current()
			all = append(all, kept{
				s:    s,
				data: register.EncodeState(s),
			})
		}
		number := uint64(0)
		for _, k := range all {
			if !bytes.Equal(register.EncodeState(k.s), k.data) {
				t.Fatal("a state changed after it was handed out")
			}
			if k.s.Number < number {
				t.Fatal("the number went back")
			}
			number = k.s.Number
		}
		other := register.New()
		if err := other.Restore(l.r.Snapshot()); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(register.EncodeState(other.Current()), register.EncodeState(l.r.Current())) {
			t.Fatal("a snapshot does not restore the state")
		}
	})
}

// routes returns a document with so many lines, one of them other than the rest.
func routes(lines, other int) []byte {
	var b bytes.Buffer
	for i := range lines {
		fmt.Fprintf(&b, `{"name":"r-%x","other":%v}`+"\n", i*2654435761, i == other)
	}
	return b.Bytes()
}

// Documents that are offered packed are in force as they were sent, on whatever
// base; one whose base another change took away changes nothing and comes whole.
func TestOffers(t *testing.T) {
	l := &log{
		r: register.New(),
	}
	offer := func(on *register.State, number uint64, document []byte) (string, int) {
		c := register.Offer(on, number, document)
		return string(l.apply(c)), len(register.Encode(c))
	}
	held := func(number uint64, document []byte) {
		t.Helper()
		if s := l.r.Current(); s.Number != number || !bytes.Equal(s.Document, document) {
			t.Fatalf("number %d, %d bytes, want number %d, %d bytes", s.Number, len(s.Document), number, len(document))
		}
	}
	first := l.r.Current()
	if got, size := offer(first, 3, routes(1400, 1)); got != "" || size > 20_000 {
		t.Fatalf("%q, %d bytes", got, size)
	}
	held(3, routes(1400, 1))
	third := l.r.Current()
	if got, size := offer(third, 5, routes(1400, 700)); got != "" || size > 600 {
		t.Fatalf("%q, %d bytes", got, size)
	}
	held(5, routes(1400, 700))
	if got, _ := offer(third, 7, routes(1400, 9)); got != register.OtherBase {
		t.Errorf("%q for a base that is not in force", got)
	}
	held(5, routes(1400, 700))
	if got, _ := offer(&register.State{}, 7, routes(1400, 9)); got != "" {
		t.Errorf("%q for the same, whole", got)
	}
	held(7, routes(1400, 9))
	if got, size := offer(l.r.Current(), 6, routes(1400, 2)); got != "" || size > 60 {
		t.Errorf("%q, %d bytes, for a number that was overtaken", got, size)
	}
	if got, _ := offer(third, 7, routes(1400, 2)); got != "" {
		t.Errorf("%q for the number that is held", got)
	}
	held(7, routes(1400, 9))
	broken := register.Offer(l.r.Current(), 8, routes(1400, 3))
	broken.Declare.Packed = broken.Declare.Packed[1:]
	if got := string(l.apply(broken)); got != register.OtherBase {
		t.Errorf("%q for a document that can't be opened", got)
	}
	held(7, routes(1400, 9))
	if got, _ := offer(l.r.Current(), 9, []byte("another altogether")); got != "" {
		t.Errorf("%q", got)
	}
	held(9, []byte("another altogether"))
}

// A reader that holds the document in force gets the rest alone.
func TestReadsLeaveOutWhatIsHeld(t *testing.T) {
	l := &log{
		r: register.New(),
	}
	l.apply(register.Offer(l.r.Current(), 4, routes(1400, 1)))
	l.apply(begin("v2"))
	for _, tt := range []struct {
		have uint64
		most int
		all  bool
	}{
		{0, 20_000, true},
		{3, 20_000, true},
		{4, 300, false},
	} {
		data := l.apply(register.Command{
			Read: true,
			Have: tt.have,
		})
		s, err := register.Decode(data)
		if err != nil || s.Number != 4 || s.Upgrades["s"].Target != "v2" || len(data) > tt.most || bytes.Equal(s.Document, routes(1400, 1)) != tt.all {
			t.Errorf("who has %d gets %d bytes, number %d, document of %d, %v", tt.have, len(data), s.Number, len(s.Document), err)
		}
	}
}

// Logs and snapshots of a program that did not pack are read on.
func TestUnpackedStatesAreRead(t *testing.T) {
	r := register.New()
	old := `{"index":7,"number":3,"document":"dGhyZWU=","upgrades":{"s":{"service":"s","target":"v2","duration":1,"order":5,"began":1,"stage":"trial"}}}`
	if err := r.Restore([]byte(old)); err != nil {
		t.Fatal(err)
	}
	if s := r.Current(); s.Number != 3 || string(s.Document) != "three" || s.Upgrades["s"].Stage != register.Trial {
		t.Errorf("%+v", s)
	}
	r.Apply(persimmoncross.Entry{
		Index: 8,
		Data:  []byte(`{"declare":{"number":4,"document":"Zm91cg=="}}`),
	})
	if s := r.Current(); s.Number != 4 || string(s.Document) != "four" || s.Index != 8 {
		t.Errorf("%+v", s)
	}
	if err := r.Restore([]byte(`{"number":4,"packed":"bm90IHBhY2tlZA=="}`)); err == nil {
		t.Error("a damaged snapshot was restored")
	}
}

// An advance to the trial during the trial adds sessions, and it never removes any or reverts a
// later stage.
func TestTrialKeepsMoreSessions(t *testing.T) {
	l := &log{
		r: register.New(),
	}
	l.apply(begin("v2"))
	order := l.r.Current().Upgrades["s"].Order
	for i, tt := range []struct {
		order uint64
		stage register.Stage
		kept  []uint64
		want  []uint64
	}{
		{order, register.Trial, []uint64{5, 7}, []uint64{5, 7}},
		{order, register.Trial, []uint64{6, 7}, []uint64{5, 6, 7}},
		{order, register.Trial, []uint64{6, 7}, []uint64{5, 6, 7}},  // sent again after a lost answer
		{order, register.Trial, nil, []uint64{5, 6, 7}},             // of a leader that lags
		{order + 7, register.Trial, []uint64{8}, []uint64{5, 6, 7}}, // of another upgrade
	} {
		c := advance(tt.order, tt.stage)
		c.Advance.Kept = tt.kept
		before := l.r.Current()
		l.apply(c)
		if u := l.r.Current().Upgrades["s"]; !slices.Equal(u.Kept, tt.want) || u.Stage != register.Trial {
			t.Errorf("command %d: stage %s keeps %v, want %v in the trial", i, u.Stage, u.Kept, tt.want)
		}
		if i == 1 && len(before.Upgrades["s"].Kept) != 2 {
			t.Error("the sessions of an earlier state were changed")
		}
	}
	l.apply(advance(order, register.Shift))
	c := advance(order, register.Trial)
	c.Advance.Kept = []uint64{9}
	l.apply(c)
	if u := l.r.Current().Upgrades["s"]; u.Stage != register.Shift || len(u.Kept) != 0 {
		t.Errorf("stage %s keeps %v after the trial, want the shift without any", u.Stage, u.Kept)
	}
}

// The share of a trial changes in its course, that of the sessions does not: sessions are not moved.
func TestTrialChangesShareOfRequests(t *testing.T) {
	l := &log{
		r: register.New(),
	}
	l.apply(begin("v2"))
	order := l.r.Current().Upgrades["s"].Order
	for i, tt := range []struct {
		share, sessionShare float64
		wantShare           float64
	}{
		{0.3, 0.05, 0.3},
		{0.02, 0.07, 0.02},
		{0, 0, 0.02}, // of a leader that does not know shares
	} {
		c := advance(order, register.Trial)
		c.Advance.Share, c.Advance.SessionShare = tt.share, tt.sessionShare
		l.apply(c)
		if u := l.r.Current().Upgrades["s"]; u.Share != tt.wantShare || u.SessionShare != 0.05 {
			t.Errorf("command %d: shares %g and %g, want %g and 0.05", i, u.Share, u.SessionShare, tt.wantShare)
		}
	}
}
