package cli

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"persimmoncross/core/state/settings"
)

// parseFile reads and checks a settings file.
func parseFile(path string) (*settings.File, []byte, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	f, err := settings.Parse(source)
	if err != nil {
		return nil, nil, inFile(path, err)
	}
	return f, source, nil
}

// check checks a settings file.
type check struct {
	file string
}

func (c *check) attach() *flaggy.Subcommand {
	s := subcommand("check", "Check a settings file; lists every mistake with its line and column.", "persimmoncross check examples/local/fleet.jsonc")
	s.AddPositionalValue(&c.file, "FILE", 1, true, "the settings file")
	return s
}

func (c *check) run(_ context.Context, e *environment) error {
	_, _, err := parseFile(c.file)
	if err != nil {
		for _, line := range strings.Split(err.Error(), "\n") {
			fmt.Fprintln(e.err, line)
		}
		return errShown
	}
	fmt.Fprintf(e.out, "%s: good\n", c.file)
	return nil
}

// effective shows a branch's values and where each comes from.
type effective struct {
	file   string
	branch string
	json   bool
}

func (c *effective) attach() *flaggy.Subcommand {
	s := subcommand("effective", "Show each value of a branch and the branch it comes from.", "persimmoncross effective examples/local/fleet.jsonc relay/zarqa")
	s.AddPositionalValue(&c.file, "FILE", 1, true, "the settings file")
	s.AddPositionalValue(&c.branch, "BRANCH", 2, true, "the branch, such as fleet, relay or relay/zarqa")
	s.Bool(&c.json, "j", "json", "print JSON")
	return s
}

// effectiveValue is one line of the JSON form.
type effectiveValue struct {
	Name   string `json:"name"`
	Value  any    `json:"value"`
	Origin string `json:"origin"`
}

func (c *effective) run(_ context.Context, e *environment) error {
	f, _, err := parseFile(c.file)
	if err != nil {
		return err
	}
	values, err := f.Effective(c.branch)
	if err != nil {
		return err
	}
	if c.json {
		list := []effectiveValue{}
		for _, v := range values {
			if s, ok := v.Value.(fmt.Stringer); ok {
				v.Value = s.String()
			}
			list = append(list, effectiveValue(v))
		}
		return printJSON(e.out, list)
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	for _, v := range values {
		fmt.Fprintf(w, "%s\t%v\t%s\n", v.Name, v.Value, v.Origin)
	}
	return w.Flush()
}

// diff compares two settings files by what is in force.
type diff struct {
	before string
	after  string
	json   bool
}

func (c *diff) attach() *flaggy.Subcommand {
	s := subcommand("diff", "Show what is in force differently under two settings files.", "persimmoncross diff old.jsonc new.jsonc")
	s.AddPositionalValue(&c.before, "A", 1, true, "the settings file before")
	s.AddPositionalValue(&c.after, "B", 2, true, "the settings file after")
	s.Bool(&c.json, "j", "json", "print JSON")
	return s
}

// differenceLine is one line of the JSON form.
type differenceLine struct {
	Path   string `json:"path"`
	Before string `json:"before"`
	After  string `json:"after"`
}

func (c *diff) run(_ context.Context, e *environment) error {
	a, _, err := parseFile(c.before)
	if err != nil {
		return err
	}
	b, _, err := parseFile(c.after)
	if err != nil {
		return err
	}
	differences := settings.Diff(a, b)
	if c.json {
		list := []differenceLine{}
		for _, d := range differences {
			list = append(list, differenceLine(d))
		}
		return printJSON(e.out, list)
	}
	for _, d := range differences {
		fmt.Fprintf(e.out, "%s: %s -> %s\n", d.Path, orNone(d.Before), orNone(d.After))
	}
	return nil
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

// hash shows the form in which settings keep a bearer key.
type hash struct {
	key string
}

func (c *hash) attach() *flaggy.Subcommand {
	s := subcommand("hash", "Show a bearer key's hash, as settings keep it.", "persimmoncross hash relay-key")
	s.AddPositionalValue(&c.key, "KEY", 1, true, "the key")
	return s
}

func (c *hash) run(_ context.Context, e *environment) error {
	fmt.Fprintln(e.out, settings.HashKey(c.key))
	return nil
}

// reference prints docs/SETTINGS.md.
type reference struct{}

func (c *reference) attach() *flaggy.Subcommand {
	s := subcommand("reference", "Print the reference of all settings (docs/SETTINGS.md).", "persimmoncross reference > docs/SETTINGS.md")
	return s
}

func (c *reference) run(_ context.Context, e *environment) error {
	_, err := fmt.Fprint(e.out, settings.Reference())
	return err
}
