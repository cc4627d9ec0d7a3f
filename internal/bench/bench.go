// Package bench is the experiment tool: it drives the decision packages with
// small seeded models of the systems they serve, on a virtual clock, beside
// the simple ways of deciding, and compares. Equal seeds give equal figures on
// every machine.
package bench

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
)

// Case is one experiment.
type Case interface {
	Name() string
	// Run returns the figures. Scale multiplies the number of trials or the
	// length of the load; 1 is what CI runs.
	Run(seed uint64, scale int) Result
}

// Cases returns all experiments.
func Cases() []Case {
	return []Case{
		rolloutCase{},
		placementCase{},
		cascadeCase{},
		limitsCase{},
		retryCase{},
		returnCase{},
		generationCase{},
		doubtsCase{},
		lendingCase{},
	}
}

// Result is an experiment's figures.
type Result struct {
	Case   string   `json:"case"`
	Text   string   `json:"text"` // what was done
	Tables []Table  `json:"tables"`
	Bounds []Bound  `json:"bounds"`
	Notes  []string `json:"notes,omitempty"`
}

// Table is a set of rows with the same columns.
type Table struct {
	Title   string   `json:"title"`
	Columns []string `json:"columns"`
	Rows    []Row    `json:"rows"`
}

// Row is a way of deciding, or a load, with its figures.
type Row struct {
	Name   string    `json:"name"`
	Values []float64 `json:"values"`
}

// Bound is a figure that must not pass a limit.
type Bound struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Most  float64 `json:"most"`
	Goal  float64 `json:"goal,omitempty"` // what is aimed at, where that is less
}

// Held reports whether the bound holds.
func (b Bound) Held() bool { return b.Value <= b.Most }

// Print writes the result as text.
func (r Result) Print(out io.Writer) {
	fmt.Fprintf(out, "%s: %s\n", r.Case, r.Text)
	for _, t := range r.Tables {
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintf(w, "%s\t%s\t\n", t.Title, strings.Join(t.Columns, "\t"))
		for _, row := range t.Rows {
			fmt.Fprintf(w, "%s\t", row.Name)
			for _, v := range row.Values {
				fmt.Fprintf(w, "%.4g\t", v)
			}
			fmt.Fprintln(w)
		}
		w.Flush()
	}
	for _, b := range r.Bounds {
		word := "held"
		if !b.Held() {
			word = "BROKEN"
		}
		goal := ""
		if b.Goal > 0 {
			goal = fmt.Sprintf(" (goal %.4g)", b.Goal)
		}
		fmt.Fprintf(out, "  %s: %.4g, bound %.4g%s: %s\n", b.Name, b.Value, b.Most, goal, word)
	}
	for _, n := range r.Notes {
		fmt.Fprintf(out, "  %s\n", n)
	}
}

// Broken lists the bounds that don't hold.
func (r Result) Broken() []Bound {
	var list []Bound
	for _, b := range r.Bounds {
		if !b.Held() {
			list = append(list, b)
		}
	}
	return list
}

// clock is a virtual clock: it moves only when it is told to.
type clock struct {
	now time.Time
}

func newClock() *clock {
	return &clock{
		now: time.Unix(1_000_000, 0),
	}
}

// Now implements persimmoncross.Clock.
func (c *clock) Now() time.Time { return c.now }

// After implements persimmoncross.Clock. Nothing in the experiments waits.
func (c *clock) After(time.Duration) <-chan time.Time { return nil }

// inParallel runs the trials on all cores and adds their figures, which are
// whole numbers, so that the order of the additions makes no difference.
func inParallel(trials int, run func(i int, sum *[8]float64)) [8]float64 {
	workers := runtime.GOMAXPROCS(0)
	parts := make([][8]float64, workers)
	var group sync.WaitGroup
	for w := range workers {
		group.Go(func() {
			for i := w; i < trials; i += workers {
				run(i, &parts[w])
			}
		})
	}
	group.Wait()
	var sum [8]float64
	for _, p := range parts {
		for k, v := range p {
			sum[k] += v
		}
	}
	return sum
}
