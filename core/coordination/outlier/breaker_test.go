package outlier

import (
	"testing"
	"time"
)

func TestBreaker(t *testing.T) {
	now := time.Unix(1000, 0)
	b := &Breaker{}
	fail := func() {
		b.Begin()
		b.Note(true, now)
	}
	for range breakAfter - 1 {
		fail()
	}
	if !b.Allows(now) {
		t.Fatal("open too early")
	}
	fail()
	pause := breakFor
	for range 8 {
		if b.Allows(now) {
			t.Fatalf("allows work within its pause of %v", pause)
		}
		now = now.Add(pause)
		if !b.Allows(now) {
			t.Fatalf("allows no probe after %v", pause)
		}
		b.Begin()
		if b.Allows(now) {
			t.Fatal("allows a second probe")
		}
		b.Note(true, now)
		pause = min(2*pause, breakMost)
	}
	// A probe that its caller left gives no verdict: another may be sent.
	now = now.Add(pause)
	b.Begin()
	b.Forget()
	if !b.Allows(now) {
		t.Error("allows no probe after one without a verdict")
	}
	b.Begin()
	b.Note(false, now)
	if !b.Allows(now) || b.Open() {
		t.Error("stays open after a good probe")
	}
}
