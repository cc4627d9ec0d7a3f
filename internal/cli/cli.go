// Package cli is the command line: one file a subcommand, each a small type
// with its flags, its help and its run method.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/mattn/go-isatty"
	"github.com/rs/zerolog"

	"persimmoncross/internal/vm"
)

// Exit codes.
const (
	exitGood  = 0
	exitBad   = 1
	exitUsage = 2
)

// command is one subcommand.
type command interface {
	// attach declares the subcommand with its flags.
	attach() *flaggy.Subcommand
	// run does its work.
	run(ctx context.Context, e *environment) error
}

// environment is what a subcommand works with.
type environment struct {
	out io.Writer
	err io.Writer
}

// commands returns the subcommands in the order of the help.
func commands() []command {
	return []command{
		&serve{},
		&entry{},
		&controller{},
		&check{},
		&effective{},
		&diff{},
		&apply{},
		&status{},
		&withdraw{},
		&drain{},
		&evacuate{},
		&repair{},
		&bills{},
		&hash{},
		&benchmark{},
		&reference{},
		&demo{},
		&showVersion{},
	}
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	p := flaggy.NewParser("persimmoncross")
	p.Description = "A model-aware router for versions and cascades."
	p.Version = vm.Version
	p.DisableShowVersionWithVersion()
	all := map[*flaggy.Subcommand]command{}
	for _, c := range commands() {
		s := c.attach()
		p.AttachSubcommand(s, 1)
		all[s] = c
	}
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(errOut, "persimmoncross:", err)
		return exitUsage
	}
	// The signals are not given back: one more, sent while the process ends, would
	// end it with the signal's status in place of its own.
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	for s, c := range all {
		if s.Used {
			return finish(c.run(ctx, &environment{
				out: out,
				err: errOut,
			}), errOut)
		}
	}
	p.ShowHelp()
	return exitUsage
}

// errShown ends a command whose output says already what is wrong.
var errShown = errors.New("cli: shown")

func finish(err error, errOut io.Writer) int {
	if err == nil {
		return exitGood
	}
	if !errors.Is(err, errShown) {
		fmt.Fprintln(errOut, "persimmoncross:", err)
	}
	return exitBad
}

// subcommand makes a subcommand whose help ends with an example.
func subcommand(name, description, example string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	s.AdditionalHelpAppend = "\nExample:\n  " + example
	return s
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// newLog logs JSON lines, or a console form on a terminal.
func newLog(w io.Writer, level string) zerolog.Logger {
	if f, ok := w.(*os.File); ok && isatty.IsTerminal(f.Fd()) {
		w = zerolog.ConsoleWriter{
			Out: w,
		}
	}
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		parsed = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(parsed).With().Timestamp().Logger()
}
