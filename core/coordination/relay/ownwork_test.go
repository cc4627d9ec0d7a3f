package relay

import (
	"context"
	"testing"
	"time"

	"persimmoncross"
)

// endedWork counts the ends of an OwnWork.
type endedWork struct{ ends int }

func (*endedWork) Pause()  {}
func (*endedWork) Resume() {}
func (w *endedWork) End()  { w.ends++ }

// Guards against the wait for the first settings that is taken for a short processor.
func TestWaitForSettingsIsNoOwnWork(t *testing.T) {
	r := &Relay{
		View: func() *View { return nil },
		Clock: &steppingClock{
			now: time.Unix(1000, 0),
		},
	}
	w := &endedWork{}
	r.awaitView(persimmoncross.WithOwnWork(context.Background(), w))
	if w.ends == 0 {
		t.Error("the wait counts as own work")
	}
}
