package cli

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/cascade"
	"persimmoncross/core/state/settings"
	"persimmoncross/internal/node"
	"persimmoncross/platform"
)

// rereadEvery is the pause between two looks at the site file, which may change
// without a signal.
const rereadEvery = 2 * time.Second

// memoryPart is the part of the memory limit at which the collector works
// harder; the rest is for stacks, buffers of the kernel and what comes in bursts.
const memoryPart = 0.6

// entry runs an entry of a fleet that finds its members by itself.
type entry struct {
	settings string
}

func (c *entry) attach() *flaggy.Subcommand {
	s := subcommand("entry", "Run an entry on the platform until it is stopped.", "persimmoncross entry --settings site.jsonc")
	s.String(&c.settings, "s", "settings", "this VM's site file")
	return s
}

func (c *entry) run(ctx context.Context, e *environment) error {
	p, err := begin(c.settings, e)
	if err != nil {
		return err
	}
	defer p.lines.Close()
	site := p.site
	if site.Caller == nil || site.Ready == nil {
		return errors.New("entry: the site file names no caller or no ready address")
	}
	registry := metrics.NewRegistry()
	n := &node.Entry{
		Site:    site,
		Clock:   persimmoncross.SystemClock{},
		Log:     p.log,
		Metrics: registry,
		Lister:  yielding(p.lister(registry)),
		Codec:   platform.Codec{},
		Decode:  platform.DecodeDocument,
		CascadePolicy: cascade.EscalationPolicy{
			StartModel: site.Cascade.Start,
			Thresholds: site.Cascade.Threshold,
		},
		Overload: site.Overload.Policy(platform.DeclaresOverload(site.Overload.Conditions)),
	}
	n.Prepare()
	go reread(ctx, p.changes, c.settings, p.log, n.SetSeeds)
	go n.ServeMetrics(ctx)
	ingress := &platform.Ingress{
		Relay:   n.Relay(),
		Limits:  n.Limits,
		Leaving: n.IsStopping,
		Clock:   n.Clock,
		Refused: n.CountRefusal,
		Bodies:  n.NewBodies(),
	}
	return n.Serve(ctx, ingress, platform.Ready(n.ReportReady))
}

// controller runs a controller of such a fleet.
type controller struct {
	settings string
}

func (c *controller) attach() *flaggy.Subcommand {
	s := subcommand("controller", "Run a controller on the platform until it is stopped.", "persimmoncross controller --settings site.jsonc")
	s.String(&c.settings, "s", "settings", "this VM's site file")
	return s
}

func (c *controller) run(ctx context.Context, e *environment) error {
	p, err := begin(c.settings, e)
	if err != nil {
		return err
	}
	defer p.lines.Close()
	if p.site.Operator == nil {
		return errors.New("controller: the site file names no operator address")
	}
	registry := metrics.NewRegistry()
	n := &node.Controller{
		Site:    p.site,
		Clock:   persimmoncross.SystemClock{},
		Log:     p.log,
		Metrics: registry,
		Lister:  p.lister(registry),
		Decode:  platform.DecodeDocument,
	}
	if err := n.Prepare(ctx); err != nil {
		return err
	}
	go reread(ctx, p.changes, c.settings, p.log, n.SetSeeds)
	go n.ServeMetrics(ctx)
	operators := &platform.Operator{
		Controller: n,
		Documents:  n.NewDocuments(),
	}
	return n.ServeOperators(ctx, operators.Handler())
}

// begun is what a program on the platform has before it serves.
type begun struct {
	site    *settings.Site
	changes <-chan os.Signal // the site file has changed
	lines   *ring
	log     zerolog.Logger
}

// begin reads the site file and sets the process up as it says. The caller closes
// the lines.
func begin(path string, e *environment) (*begun, error) {
	changes := hangups() // before anything that takes time: a signal then ends no process
	site, err := readSite(path)
	if err != nil {
		return nil, err
	}
	limitMemory(site.Memory)
	lines := newRing(e.out)
	return &begun{
		site:    site,
		changes: changes,
		lines:   lines,
		log:     newLog(lines, site.Log),
	}, nil
}

// lister returns the client of the platform's list.
func (b *begun) lister(registry metrics.Registry) *platform.List {
	l := platform.NewList(b.site.List.Address)
	l.Own = b.site.Own
	l.Log = b.log
	l.Metrics = registry
	return l
}

// yielding returns the list's client for an entry: one of hundreds that give way.
func yielding(l *platform.List) *platform.List {
	l.Yields = true
	return l
}

func readSite(path string) (*settings.Site, error) {
	if path == "" {
		return nil, errors.New("--settings FILE is missing")
	}
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	site, err := settings.ParseSite(source, filepath.Dir(path))
	if err != nil {
		return nil, inFile(path, err)
	}
	return site, nil
}

// limitMemory lets the collector keep a process within its memory limit in MB, 0 for none.
func limitMemory(limit int) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(limit) * (1 << 20)))
	}
}

// hangups returns the SIGHUPs of the process. It is called first of all and not
// undone: a file may change while the process starts or stops, and without it the
// signal would end the process there.
func hangups() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// reread reads the site file again on a signal and when it changes. One that
// can't be read changes nothing.
func reread(ctx context.Context, signals <-chan os.Signal, path string, log zerolog.Logger, take func(*settings.Site)) {
	last := modified(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-time.After(rereadEvery):
		}
		now := modified(path)
		if !signalled && now.Equal(last) {
			continue
		}
		last = now
		site, err := readSite(path)
		if err != nil {
			log.Error().Err(err).Msg("the site file is bad: the one before stays in force")
			continue
		}
		take(site)
		log.Info().Int("seeds", len(site.Seeds)).Msg("site file read again")
	}
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
