package group

import (
	"testing"
	"time"

	"persimmoncross"
)

// suspendedClock is a clock of a VM that was suspended.
type suspendedClock struct {
	now       time.Time
	suspended time.Duration
}

func (c *suspendedClock) Now() time.Time                       { return c.now }
func (c *suspendedClock) After(time.Duration) <-chan time.Time { return nil }
func (c *suspendedClock) Suspended() time.Duration             { return c.suspended }

// A VM that was suspended past the end of its lease has no lease when it resumes, although
// its monotonic clock did not advance, because another leader may have accepted changes in
// the meantime.
func TestLeaseExpiresWhileVMIsSuspended(t *testing.T) {
	c := &suspendedClock{
		now:       time.Unix(1000, 0),
		suspended: time.Hour, // from earlier suspensions, which must not affect the lease
	}
	g := &Replica{
		Clock: c,
	}
	g.view.Store(&View{
		LeaseExpiry: g.now().Add(time.Second),
	})
	if !g.HasLease() {
		t.Error("no lease before the suspension")
	}
	c.now = c.now.Add(100 * time.Millisecond)
	c.suspended += 5 * time.Second
	if g.HasLease() {
		t.Error("the lease is still valid after a suspension of 5 s")
	}
}

// The suspended time that the system clock reports does not decrease.
func TestSystemClockSuspendedDoesNotDecrease(t *testing.T) {
	var c persimmoncross.SuspendClock = persimmoncross.SystemClock{}
	before := c.Suspended()
	if after := c.Suspended(); before < 0 || after < before-time.Second {
		t.Errorf("suspended for %v, then %v", before, after)
	}
}
