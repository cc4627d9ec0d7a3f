package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const epsilon = 1e-6

func TestShares(t *testing.T) {
	tests := []struct {
		name     string
		capacity float64
		demands  []Demand
		want     map[string]float64
	}{
		{"room for all", 10, []Demand{{Organisation: "a", Wanted: 3}, {Organisation: "b", Wanted: 6}}, map[string]float64{"a": 3, "b": 6}},
		{"equal parts", 10, []Demand{{Organisation: "a", Wanted: 30}, {Organisation: "b", Wanted: 9}}, map[string]float64{"a": 5, "b": 5}},
		{"unused parts are lent", 12, []Demand{{Organisation: "a", Wanted: 30}, {Organisation: "b", Wanted: 2}, {Organisation: "c", Wanted: 4.5}}, map[string]float64{"a": 5.5, "b": 2, "c": 4.5}},
		{"weights", 12, []Demand{{Organisation: "a", Wanted: 30, Weight: 2}, {Organisation: "b", Wanted: 30}}, map[string]float64{"a": 8, "b": 4}},
		{"more urgent first", 10, []Demand{{Organisation: "a", Wanted: 30, Rank: 1}, {Organisation: "b", Wanted: 6}}, map[string]float64{"a": 4, "b": 6}},
		{"floor of the less urgent", 10, []Demand{{Organisation: "a", Wanted: 30, Rank: 1}, {Organisation: "b", Wanted: 60}}, map[string]float64{"a": 1, "b": 9}},
		{"floor that is not wanted", 10, []Demand{{Organisation: "a", Wanted: 0.5, Rank: 1}, {Organisation: "b", Wanted: 60}}, map[string]float64{"a": 0.5, "b": 9.5}},
		{"no capacity", 0, []Demand{{Organisation: "a", Wanted: 1}}, map[string]float64{"a": 0}},
		{"nobody", 10, nil, map[string]float64{}},
	}
	for _, tt := range tests {
		got := Shares(tt.capacity, tt.demands)
		if len(got) != len(tt.want) {
			t.Errorf("%s: shares %v, want %v", tt.name, got, tt.want)
		}
		for organisation, want := range tt.want {
			if math.Abs(got[organisation]-want) > epsilon {
				t.Errorf("%s: shares %v, want %v", tt.name, got, tt.want)
			}
		}
	}
}

func drawDemands(t *rapid.T) (capacity float64, demands []Demand) {
	for i := range rapid.IntRange(1, 30).Draw(t, "organisations") {
		wanted := rapid.Float64Range(0, 100).Draw(t, "wanted")
		demands = append(demands, Demand{
			Organisation: fmt.Sprint(i),
			Held:         wanted * rapid.Float64Range(0, 1).Draw(t, "held"),
			Wanted:       wanted,
			Rank:         rapid.IntRange(0, 3).Draw(t, "rank"),
			Weight:       rapid.Float64Range(0.1, 10).Draw(t, "weight"),
		})
	}
	return rapid.Float64Range(0, 1000).Draw(t, "capacity"), demands
}

// Whatever is wanted, the shares stay within the capacity, use all of it if it is wanted, and no
// organisation is below its demand while another of its rank has more for its weight.
func TestSharesAreMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, demands := drawDemands(t)
		shares := Shares(capacity, demands)
		sum, wanted := 0.0, 0.0
		for _, d := range demands {
			sum += shares[d.Organisation]
			wanted += d.Wanted
			if shares[d.Organisation] > d.Wanted+epsilon {
				t.Fatalf("%s gets more than it wants", d.Organisation)
			}
			for _, x := range demands {
				if d.Rank == x.Rank && shares[d.Organisation] < d.Wanted-epsilon && shares[x.Organisation]/x.weight() > shares[d.Organisation]/d.weight()+epsilon {
					t.Fatalf("%s is below its demand while %s has more", d.Organisation, x.Organisation)
				}
			}
		}
		if math.Abs(sum-min(capacity, wanted)) > epsilon {
			t.Fatalf("shares sum to %v of %v, %v are wanted", sum, capacity, wanted)
		}
	})
}

// More capacity must not lower a share, nor must an organisation get less by wanting more.
func TestSharesAreMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, demands := drawDemands(t)
		before := Shares(capacity, demands)
		larger := Shares(capacity+rapid.Float64Range(0, 100).Draw(t, "more capacity"), demands)
		for _, d := range demands {
			if larger[d.Organisation] < before[d.Organisation]-epsilon {
				t.Fatalf("%s gets less of a larger capacity", d.Organisation)
			}
		}
		i := rapid.IntRange(0, len(demands)-1).Draw(t, "which wants more")
		demands[i].Wanted += rapid.Float64Range(0, 100).Draw(t, "more wanted")
		if got := Shares(capacity, demands)[demands[i].Organisation]; got < before[demands[i].Organisation]-epsilon {
			t.Fatalf("%s gets less by wanting more", demands[i].Organisation)
		}
	})
}

// An organisation that holds and wants no more than its share is never told to wait.
func TestExcessOnlyOverShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, demands := drawDemands(t)
		a := Allocate(capacity, demands)
		for _, d := range demands {
			if a.Excess(d.Organisation, 10) > 0 && a.Share(d.Organisation) >= d.Wanted-epsilon {
				t.Fatalf("%s is within its share and has to wait", d.Organisation)
			}
		}
	})
}

// An organisation that wants all of a short capacity for itself takes it from nobody, and is not over
// its share until others want some of it.
func TestIsOverShareNeedsOthers(t *testing.T) {
	demands := []Demand{
		{
			Organisation: "large",
			Held:         60,
			Wanted:       60,
		},
	}
	if Allocate(30, demands).IsOverShare("large") {
		t.Error("the only organisation is over its share")
	}
	demands = append(demands, Demand{
		Organisation: "small",
		Held:         2,
		Wanted:       4,
	})
	if a := Allocate(30, demands); !a.IsOverShare("large") || a.IsOverShare("small") {
		t.Errorf("over their share: large %v, small %v, want large alone", a.IsOverShare("large"), a.IsOverShare("small"))
	}
}

func TestUsageAndExcess(t *testing.T) {
	a := Allocate(30, []Demand{
		{
			Organisation: "large",
			Held:         25,
			Wanted:       60,
		},
		{
			Organisation: "small",
			Held:         2,
			Wanted:       5,
		},
		{
			Organisation: "middle",
			Held:         3,
			Wanted:       10,
		},
	})
	// 5 of small and 10 of middle are satisfied, and 15 are left to large.
	if got := a.Usage("large"); math.Abs(got-25.0/15) > epsilon {
		t.Errorf("usage of large is %v, want 25/15", got)
	}
	if a.Usage("small") >= a.Usage("middle") || a.Usage("middle") >= 1 {
		t.Errorf("usages %v and %v, want those below 1 in the order of what they hold", a.Usage("small"), a.Usage("middle"))
	}
	if got := a.Usage("unknown"); got != 0 {
		t.Errorf("usage of an unknown organisation is %v", got)
	}
	// 45 requests beyond the share of 15, which begins half of 10 requests a second.
	if got := a.Excess("large", 10); got != 9*time.Second {
		t.Errorf("excess of large is %v, want 9s", got)
	}
	if got := a.Excess("large", 0); got != 0 {
		t.Errorf("excess without a known rate is %v", got)
	}
	if got := Allocate(100, []Demand{{Organisation: "alone", Held: 90, Wanted: 99}}).Excess("alone", 10); got != 0 {
		t.Errorf("excess while there is room for all is %v", got)
	}
	if got := Allocate(30, []Demand{{Organisation: "a", Wanted: 44}}).Excess("a", 10); got != 0 {
		t.Errorf("excess at less than overShareFactor is %v", got)
	}
	if got := Allocate(0, []Demand{{Organisation: "a", Wanted: 1}}).Excess("a", 10); got != 0 {
		t.Errorf("excess without capacity is %v", got)
	}
}
