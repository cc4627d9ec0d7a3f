package register_test

import (
	"bytes"
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
