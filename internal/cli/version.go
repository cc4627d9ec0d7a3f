package cli

import (
	"context"
	"fmt"
	"runtime"

	"github.com/integrii/flaggy"

	"persimmoncross/internal/vm"
)

// showVersion prints the program's version.
type showVersion struct{}

func (c *showVersion) attach() *flaggy.Subcommand {
	return subcommand("version", "Show the program's version.", "persimmoncross version")
}

func (c *showVersion) run(_ context.Context, e *environment) error {
	fmt.Fprintf(e.out, "persimmoncross %s (%s)\n", vm.Version, runtime.Version())
	return nil
}
