package outlier

import (
	"testing"
	"time"
)

func TestBreaker(t *testing.T) {
	now := time.Unix(1000, 0)
	b := &Breaker{}
	fail := func() {
		b.StartAttempt()
		b.RecordOutcome(true, now)
	}
	for range failureThreshold - 1 {
		fail()
	}
	if !b.Allows(now) {
		t.Fatal("breaker opened before the failure threshold")
	}
	fail()
	openTime := initialOpenTime
	for range 8 {
		if b.Allows(now) {
			t.Fatalf("breaker allows attempts within its open time of %v", openTime)
		}
		now = now.Add(openTime)
		if !b.Allows(now) {
			t.Fatalf("breaker allows no probe after %v", openTime)
		}
		b.StartAttempt()
		if b.Allows(now) {
			t.Fatal("breaker allows a second probe")
		}
		b.RecordOutcome(true, now)
		openTime = min(2*openTime, maxOpenTime)
	}
	// After a probe that was abandoned without an outcome, another one is allowed.
	now = now.Add(openTime)
	b.StartAttempt()
	b.AbandonProbe()
	if !b.Allows(now) {
		t.Error("breaker allows no probe after an abandoned one")
	}
	b.StartAttempt()
	b.RecordOutcome(false, now)
	if !b.Allows(now) || b.IsOpen() {
		t.Error("breaker stays open after a successful probe")
	}
}
