package dispatch

import (
	"context"
	"sync"
	"time"

	"persimmoncross"
	"persimmoncross/core/state/record"
	"persimmoncross/core/state/settings"
)

// maxCachedPins limits the number of sessions whose pins one entry caches.
const maxCachedPins = 50_000

// pinCache caches pins that the ledger has committed. A pin changes only when its version is
// withdrawn, so a cached pin stays valid until the ledger may have dropped the session.
type pinCache struct {
	mu   sync.Mutex // guards pins
	pins map[[3]string]cachedPin
}

type cachedPin struct {
	version   persimmoncross.ModelVersion
	expiresAt time.Time
}

func (c *pinCache) get(k [3]string, now time.Time) (persimmoncross.ModelVersion, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pins[k]
	return p.version, ok && now.Before(p.expiresAt)
}

func (c *pinCache) put(k [3]string, v persimmoncross.ModelVersion, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pins == nil || len(c.pins) >= maxCachedPins {
		c.pins = map[[3]string]cachedPin{}
	}
	c.pins[k] = cachedPin{
		version:   v,
		expiresAt: until,
	}
}

func pinKey(w *Request, model string) [3]string {
	return [3]string{w.Organisation.Name, w.SessionID, model}
}

// choosePin returns the version to run the step on and the command that pins the session to
// that version. The command is nil if the request has no session, the step names a version,
// or the session's pin is cached and still permitted. choosePin returns false if no version
// is permitted.
func (d *Dispatcher) choosePin(s *settings.Snapshot, w *Request, step persimmoncross.ModelVersion) (*record.Pin, persimmoncross.ModelVersion, bool) {
	proposed, ok := d.pickVersion(s, w.Organisation.Name, step)
	if !ok || w.SessionID == "" || step.Pinned() {
		return nil, proposed, ok
	}
	known, cached := d.pinnedVersions.get(pinKey(w, step.Model), d.Clock.Now())
	if cached && s.May(w.Organisation.Name, known) {
		return nil, known, true
	}
	p := d.newPin(w, step.Model, proposed)
	if cached && s.Withdrawn[known] {
		p.Moved = known.String()
	}
	return p, proposed, true
}

func (d *Dispatcher) newPin(w *Request, model string, proposed persimmoncross.ModelVersion) *record.Pin {
	return &record.Pin{
		Organisation: w.Organisation.Name,
		Session:      w.SessionID,
		Model:        model,
		Version:      proposed.String(),
		Idle:         int64(w.Organisation.Idle),
		Time:         d.FleetTime(),
	}
}

// resolvePin uses the version that the ledger returned for a pin. If that version has been
// withdrawn, resolvePin moves the session to another version with a command to the ledger, so
// that the move applies once and to all entries.
func (d *Dispatcher) resolvePin(ctx context.Context, w *Request, p *record.Pin, versionText string) (persimmoncross.ModelVersion, *persimmoncross.Refusal) {
	assigned := persimmoncross.ParseModelVersion(versionText)
	s := d.Settings()
	if s.Withdrawn[assigned] && p.GetMoved() != versionText {
		proposed, ok := d.pickVersion(s, w.Organisation.Name, persimmoncross.ParseModelVersion(p.GetModel()))
		if !ok {
			return assigned, d.noVersionRefusal(w, assigned)
		}
		move := d.newPin(w, p.GetModel(), proposed)
		move.Moved = versionText
		return d.commitPin(ctx, w, move)
	}
	if !s.May(w.Organisation.Name, assigned) {
		return assigned, persimmoncross.NewRefusal(persimmoncross.CodeModelForbidden, "the session runs on %q, which %s may not use", assigned, w.Organisation.Name)
	}
	until := d.Clock.Now().Add(w.Organisation.Idle / 2)
	d.pinnedVersions.put(pinKey(w, p.GetModel()), assigned, until)
	return assigned, nil
}

// commitPin commits a pin that is not part of a claim.
func (d *Dispatcher) commitPin(ctx context.Context, w *Request, p *record.Pin) (persimmoncross.ModelVersion, *persimmoncross.Refusal) {
	v, refusal := d.proposeCommand(ctx, &record.Command{
		Pin: p,
	})
	if refusal != nil {
		return persimmoncross.ModelVersion{}, refusal
	}
	if v.GetState() == record.State_FULL {
		return persimmoncross.ModelVersion{}, ledgerFullRefusal()
	}
	return d.resolvePin(ctx, w, p, v.GetVersion())
}
