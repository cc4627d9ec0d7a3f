// Package demo shows the router at work: a small fleet in one process, a mixed
// load, and a check of the invariants afterwards.
package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross/internal/fleet"
)

// The load.
const (
	callers  = 8
	requests = 50 // of each caller
	sample   = 4096
)

// Demo is one demonstration. The exported fields are set before Run.
type Demo struct {
	Out  io.Writer
	Keep bool // leave the fleet up until the context ends

	fleet *fleet.Fleet

	mu       sync.Mutex // guards all below
	replies  int
	whole    int
	refused  map[string]int
	versions map[string]int
	wrong    []string
	latency  metrics.Sample
}

// Run returns an error unless every invariant held.
func (d *Demo) Run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "persimmoncross-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	d.fleet = &fleet.Fleet{
		Folder: folder,
		Log:    zerolog.Nop(),
	}
	d.refused = map[string]int{}
	d.versions = map[string]int{}
	d.latency = metrics.NewUniformSample(sample)
	defer d.fleet.Close()
	if err := d.fleet.Start(ctx); err != nil {
		return err
	}
	fmt.Fprintln(d.Out, "Three VMs (entry and voter each), five engines, two plain services and a rater run in this process.")
	d.load(ctx)
	if err := d.report(ctx); err != nil {
		return err
	}
	if d.Keep {
		d.keep(ctx)
	}
	if len(d.wrong) > 0 {
		return fmt.Errorf("%d invariants did not hold", len(d.wrong))
	}
	return nil
}

func (d *Demo) load(ctx context.Context) {
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			for j := range requests {
				d.one(ctx, i, j)
			}
		})
	}
	group.Wait()
}

// one sends one request of the mix and checks its reply.
func (d *Demo) one(ctx context.Context, i, j int) {
	c := d.call(i, j)
	began := time.Now()
	r, err := d.fleet.Do(ctx, c)
	took := time.Since(began)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replies++
	switch {
	case err != nil:
		d.wrong = append(d.wrong, fmt.Sprintf("%s at %s: %v", c.Model+c.Path, c.VM, err))
	case r.Problem.Code != "":
		d.refused[r.Problem.Code]++
		if c.Model != "large@1" || c.Key != fleet.DeskKey {
			d.wrong = append(d.wrong, fmt.Sprintf("%s at %s: refused: %s", c.Model+c.Path, c.VM, r.Problem.Detail))
		}
	case !r.Whole || c.Path == "" && r.Text != fleet.WantText(c.Tokens):
		d.wrong = append(d.wrong, fmt.Sprintf("%s at %s: the answer is not whole", c.Model+c.Path, c.VM))
	default:
		d.whole++
		d.latency.Update(took.Microseconds())
		if r.Version != "" {
			d.versions[r.Version]++
		}
	}
}

// call returns the j-th request of the i-th caller.
func (d *Demo) call(i, j int) fleet.Call {
	c := fleet.Call{
		VM:     d.fleet.Names()[(i+j)%3],
		Key:    fleet.RelayKey,
		Model:  "small",
		Text:   fmt.Sprintf("question %d of caller %d", j, i),
		Tokens: 10 + j,
		Stream: j%2 == 0,
		Headers: map[string]string{
			"Idempotency-Key": fmt.Sprintf("demo-%d-%d", i, j),
		},
	}
	switch j % 10 {
	case 3:
		c.Model = "auto"
		c.Text = "a hard " + c.Text
	case 4:
		c.Model = "auto"
	case 5:
		c.Headers["Session-Id"] = fmt.Sprintf("session-%d", i)
	case 6:
		c.Key = fleet.DeskKey
		c.Model = "large@1" // which the desk may not use
	case 7:
		c.Key = fleet.DeskKey
		c.Method = "POST"
		c.Path = "/services/stock/deposit"
	case 8:
		c.Method = "GET"
		c.Path = "/services/slips/track/7"
	case 9:
		c.Model = "large"
	}
	return c
}

func (d *Demo) report(ctx context.Context) error {
	found, err := d.fleet.Audit(ctx, "vm-a")
	if err != nil {
		return err
	}
	bills, err := d.fleet.Bills(ctx, "vm-a")
	if err != nil {
		return err
	}
	d.wrong = append(d.wrong, found...)
	for _, r := range d.fleet.Runs() {
		if r.Organisation == "desk" && r.Version == "large@1" {
			d.wrong = append(d.wrong, "the desk ran on large@1")
		}
	}
	if len(bills) != d.whole {
		d.wrong = append(d.wrong, fmt.Sprintf("%d whole answers, %d bills", d.whole, len(bills)))
	}
	p := d.latency.Percentiles([]float64{0.5, 0.95})
	w := tabwriter.NewWriter(d.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "requests\t%d\n", d.replies)
	fmt.Fprintf(w, "whole answers\t%d\n", d.whole)
	for _, code := range slices.Sorted(maps.Keys(d.refused)) {
		fmt.Fprintf(w, "refused %s\t%d\n", code, d.refused[code])
	}
	for _, v := range slices.Sorted(maps.Keys(d.versions)) {
		fmt.Fprintf(w, "ran on %s\t%d\n", v, d.versions[v])
	}
	fmt.Fprintf(w, "bills\t%d\n", len(bills))
	fmt.Fprintf(w, "p50 / p95\t%.1f ms / %.1f ms\n", p[0]/1000, p[1]/1000)
	fmt.Fprintf(w, "invariants broken\t%d\n", len(d.wrong))
	for _, t := range d.wrong {
		fmt.Fprintf(w, "\t%s\n", t)
	}
	return w.Flush()
}

func (d *Demo) keep(ctx context.Context) {
	fmt.Fprintf(d.Out, "\nTry it (Ctrl-C ends it):\n  curl -H 'Authorization: Bearer %s' -d '{\"model\":\"auto\",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}' http://%s/v1/chat/completions\n", fleet.RelayKey, d.fleet.Caller("vm-a"))
	<-ctx.Done()
}
