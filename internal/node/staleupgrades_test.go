package node

import (
	"testing"
	"time"

	"persimmoncross/core/state/register"
	"persimmoncross/io/protocol/wire"
)

// An entry that hears no controller must not go on with the last stage of an upgrade that it was told.
func TestEntryWithoutControllersDistrustsUpgradeStage(t *testing.T) {
	e := newFleet(t, 96).stoppedEntry()
	now := e.Clock.Now()
	e.startedAt = now
	e.leasedAt = now
	e.state = &register.State{}
	e.updateStaleUpgrades(now.Add(staleUpgradeTimeout - time.Millisecond))
	if v := e.view.Load(); v != nil && v.UpgradesStale {
		t.Error("stages are out of date while a controller is heard")
	}
	e.updateStaleUpgrades(now.Add(staleUpgradeTimeout))
	if !e.view.Load().UpgradesStale {
		t.Error("stages are trusted although no controller is heard")
	}
	e.applyUpdate(&wire.Update{
		Leased: true,
	})
	if e.view.Load().UpgradesStale {
		t.Error("stages are out of date after an update from a controller with a lease")
	}
}
