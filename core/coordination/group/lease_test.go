package group

import (
	"testing"
	"time"

	"persimmoncross"
)

// suspendedClock is a clock whose VM was suspended for a while.
type suspendedClock struct {
	now       time.Time
	suspended time.Duration
}

func (c *suspendedClock) Now() time.Time                       { return c.now }
func (c *suspendedClock) After(time.Duration) <-chan time.Time { return nil }
func (c *suspendedClock) Suspended() time.Duration             { return c.suspended }

// A VM that is suspended over the end of its lease has none when it wakes, though its
// steady clock has not moved: another leader may have accepted changes meanwhile.
func TestLeaseExpiresWhileVMIsSuspended(t *testing.T) {
	c := &suspendedClock{
		now:       time.Unix(1000, 0),
		suspended: time.Hour, // of earlier days: it is the same before and after
	}
	g := &Replica{
		Clock: c,
	}
	g.view.Store(&View{
		LeaseExpiry: g.now().Add(time.Second),
	})
	if !g.HasLease() {
		t.Error("no lease before")
	}
	c.now = c.now.Add(100 * time.Millisecond)
	c.suspended += 5 * time.Second
	if g.HasLease() {
		t.Error("the lease outlived five seconds")
	}
}

// The system's clock never goes back for it.
func TestSystemClockSuspendedDoesNotDecrease(t *testing.T) {
	var c persimmoncross.SuspendClock = persimmoncross.SystemClock{}
	before := c.Suspended()
	if after := c.Suspended(); before < 0 || after < before-time.Second {
		t.Errorf("suspended for %v, then %v", before, after)
	}
}
