package recall

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Guards against recalls of attempts that most likely run, and against recalls without end.
func TestMayRecall(t *testing.T) {
	stuck := Attempt{
		Age:             800 * ms,
		PrefillTime:     100 * ms,
		ExpectedWait:    0,
		Requests:        80,
		Slots:           64,
		QueueDelay:      time.Second,
		ObjectiveLeft:   3 * time.Second,
		DeadlineLeft:    10 * time.Second,
		RetryBudgetLeft: 0.8,
	}
	tests := []struct {
		name   string
		change func(a *Attempt)
		want   bool
	}{
		{"queued", func(*Attempt) {}, true},
		{"young", func(a *Attempt) { a.Age = 400 * ms }, false},
		{"long prompt being read", func(a *Attempt) { a.PrefillTime = 400 * ms }, false},
		{"free slots there", func(a *Attempt) { a.Requests = 60 }, false},
		{"free slots, but waiting reported", func(a *Attempt) { a.Requests, a.Waiting = 60, 3 }, true},
		{"recalled twice", func(a *Attempt) { a.Recalls = 2 }, false},
		{"retries kept for failures", func(a *Attempt) { a.RetryBudgetLeft, a.ObjectiveLeft = 0.25, 100*ms }, false},
		{"retries short, in time here", func(a *Attempt) { a.RetryBudgetLeft = 0.45 }, false},
		{"retries short, may miss the objective", func(a *Attempt) { a.RetryBudgetLeft, a.ObjectiveLeft = 0.45, 1500*ms }, true},
		{"retries short, has missed the objective", func(a *Attempt) { a.RetryBudgetLeft, a.ObjectiveLeft = 0.45, -ms }, false},
		{"retries short, may miss the deadline", func(a *Attempt) { a.RetryBudgetLeft, a.ObjectiveLeft, a.DeadlineLeft = 0.45, -ms, 1500*ms }, true},
	}
	for _, tt := range tests {
		a := stuck
		tt.change(&a)
		if got := a.MayRecall(); got != tt.want {
			t.Errorf("%s: MayRecall = %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against moves between queues that are about equal, by loads that are half a second old.
func TestIsBetterNeedsMargin(t *testing.T) {
	a := Attempt{
		Age:          time.Second,
		ExpectedWait: 2500 * ms,
		QueueDelay:   2 * time.Second,
	}
	tests := []struct {
		name          string
		delay, prefix time.Duration
		want          bool
	}{
		{"idle upstream", 0, 0, true},
		{"idle upstream, prefix to read again", 0, 900 * ms, true},
		{"long prefix to read again", 0, 1100 * ms, false},
		{"queue nearly as long", 1200 * ms, 0, false},
	}
	for _, tt := range tests {
		if got := a.IsBetter(tt.delay, tt.prefix); got != tt.want {
			t.Errorf("%s: IsBetter = %v, want %v", tt.name, got, tt.want)
		}
	}
	a.QueueDelay = 400 * ms // the queue there has become short
	if a.IsBetter(0, 0) {
		t.Error("an attempt leaves a queue that is shorter than the margin")
	}
}

// Guards against answers that are asked for and end after the deadline, and against kept answers
// that are held until it is too late for them as well.
func TestAnswers(t *testing.T) {
	tests := []struct {
		name    string
		answer  Answer
		finish  bool
		deliver bool
	}{
		{"in time", Answer{TimeToHead: time.Second, Generation: 2 * time.Second, TimeToDeadline: 4 * time.Second}, true, false},
		{"begins in time, ends late", Answer{TimeToHead: 2 * time.Second, Generation: 2 * time.Second, TimeToDeadline: 4 * time.Second}, false, false},
		{"too late if it began now", Answer{TimeToHead: time.Second, Generation: 2 * time.Second, TimeToDeadline: 2 * time.Second}, false, true},
		{"pace not known", Answer{TimeToHead: time.Second, TimeToDeadline: time.Second}, true, false},
		{"pace not known, deadline near", Answer{TimeToHead: time.Second, TimeToDeadline: 200 * ms}, true, true},
	}
	for _, tt := range tests {
		if got := tt.answer.CanFinish(); got != tt.finish {
			t.Errorf("%s: CanFinish = %v, want %v", tt.name, got, tt.finish)
		}
		if got := ShouldDeliverKept(tt.answer); got != tt.deliver {
			t.Errorf("%s: ShouldDeliverKept = %v, want %v", tt.name, got, tt.deliver)
		}
	}
}

// Guards against two slots held by one request for long.
func TestShouldKeep(t *testing.T) {
	tests := []struct {
		name              string
		generation, begin time.Duration
		want              bool
	}{
		{"short answer", 100 * ms, 0, true},
		{"ends before the larger begins", 900 * ms, time.Second, true},
		{"ends after the larger begins", 900 * ms, 500 * ms, false},
		{"length not known", 0, time.Second, false},
	}
	for _, tt := range tests {
		if got := ShouldKeep(tt.generation, tt.begin); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}
