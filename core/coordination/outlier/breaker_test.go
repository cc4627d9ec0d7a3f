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
		t.Fatal("open too early")
	}
	fail()
	openTime := initialOpenTime
	for range 8 {
		if b.Allows(now) {
			t.Fatalf("allows work within its pause of %v", openTime)
		}
		now = now.Add(openTime)
		if !b.Allows(now) {
			t.Fatalf("allows no probe after %v", openTime)
		}
		b.StartAttempt()
		if b.Allows(now) {
			t.Fatal("allows a second probe")
		}
		b.RecordOutcome(true, now)
		openTime = min(2*openTime, maxOpenTime)
	}
	// A probe that its caller left gives no verdict: another may be sent.
	now = now.Add(openTime)
	b.StartAttempt()
	b.AbandonProbe()
	if !b.Allows(now) {
		t.Error("allows no probe after one without a verdict")
	}
	b.StartAttempt()
	b.RecordOutcome(false, now)
	if !b.Allows(now) || b.IsOpen() {
		t.Error("stays open after a good probe")
	}
}
