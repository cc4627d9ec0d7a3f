package cli

import (
	"context"

	"github.com/integrii/flaggy"

	fleetdemo "persimmoncross/internal/demo"
)

// demo runs a small fleet in this process.
type demo struct {
	keep bool
}

func (c *demo) attach() *flaggy.Subcommand {
	s := subcommand("demo", "Run three VMs and stand-ins in this process under a small load and check the invariants.", "persimmoncross demo --keep")
	s.Bool(&c.keep, "k", "keep", "leave the fleet up and show a line to try")
	return s
}

func (c *demo) run(ctx context.Context, e *environment) error {
	d := &fleetdemo.Demo{
		Out:  e.out,
		Keep: c.keep,
	}
	return d.Run(ctx)
}
