package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"persimmoncross/internal/bench"
)

// benchmark runs the experiments on the decisions.
type benchmark struct {
	name    string
	seed    int
	scale   int
	check   bool
	json    bool
	plot    string
	report  string
	results string
}

func (c *benchmark) attach() *flaggy.Subcommand {
	c.seed = 42
	c.scale = 1
	var names []string
	for _, b := range bench.Cases() {
		names = append(names, b.Name())
	}
	s := subcommand("bench", "Compare the decisions with simple ways, on seeded models and a virtual clock. Cases: "+strings.Join(names, ", ")+", all.", "persimmoncross bench placement --scale 3 --plot plots")
	s.AddPositionalValue(&c.name, "CASE", 1, true, "the case, or all")
	s.Int(&c.seed, "s", "seed", "seed of the models")
	s.Int(&c.scale, "x", "scale", "times as many trials, or as long a load, as in CI")
	s.Bool(&c.check, "c", "check", "fail if a bound does not hold")
	s.Bool(&c.json, "j", "json", "print JSON")
	s.String(&c.plot, "p", "plot", "folder for plots (SVG)")
	s.String(&c.report, "r", "report", "file for a page with all tables and charts (HTML)")
	s.String(&c.results, "", "results", "file with results that were printed as JSON: they are taken in place of experiments")
	return s
}

func (c *benchmark) run(_ context.Context, e *environment) error {
	results, err := c.collect()
	if err != nil {
		return err
	}
	broken := 0
	for _, r := range results {
		broken += len(r.Broken())
		if !c.json {
			r.Print(e.out)
		}
		if c.plot != "" {
			if err := r.Plot(c.plot); err != nil {
				return err
			}
		}
	}
	if c.report != "" {
		if err := c.write(results); err != nil {
			return err
		}
	}
	if c.json {
		if err := printJSON(e.out, results); err != nil {
			return err
		}
	}
	if c.check && broken > 0 {
		return fmt.Errorf("bench: %d bounds do not hold", broken)
	}
	return nil
}

// collect runs the experiments, or reads their results.
func (c *benchmark) collect() ([]bench.Result, error) {
	var results []bench.Result
	if c.results != "" {
		f, err := os.Open(c.results)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		all, err := bench.ReadResults(f)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", c.results, err)
		}
		for _, r := range all {
			if c.takes(r.Case) {
				results = append(results, r)
			}
		}
	} else {
		for _, b := range bench.Cases() {
			if c.takes(b.Name()) {
				results = append(results, b.Run(uint64(c.seed), c.scale))
			}
		}
	}
	if len(results) == 0 {
		return nil, fmt.Errorf("bench: there is no case %q", c.name)
	}
	return results, nil
}

// takes reports whether the case was asked for.
func (c *benchmark) takes(name string) bool { return c.name == "all" || c.name == name }

// write writes the page.
func (c *benchmark) write(results []bench.Result) error {
	f, err := os.Create(c.report)
	if err != nil {
		return err
	}
	err = bench.WriteReport(f, results)
	return errors.Join(err, f.Close())
}
