package fleet

import (
	"context"
	"fmt"
	"strings"

	"persimmoncross/internal/standin"
	"persimmoncross/io/transport/operator"
)

// Audit compares the bills with the stand-ins' books: every whole run is on
// one bill with its tokens, none on two, and no bill lacks its run. It returns
// what does not hold.
func (f *Fleet) Audit(ctx context.Context, vm string) ([]string, error) {
	bills, err := f.Bills(ctx, vm)
	if err != nil {
		return nil, err
	}
	return compare(f.Runs(), bills), nil
}

// Runs returns every run in the stand-ins' books, by attempt.
func (f *Fleet) Runs() []standin.Run {
	var all []standin.Run
	for _, e := range f.Engines {
		all = append(all, e.Book.Runs()...)
	}
	for _, s := range f.Services {
		all = append(all, s.Book.Runs()...)
	}
	return all
}

func compare(runs []standin.Run, bills []operator.BillResult) []string {
	var wrong []string
	byAttempt := map[string]standin.Run{}
	for _, r := range runs {
		byAttempt[r.Attempt] = r
	}
	billed := map[string]int{}
	keys := map[string]int{}
	for _, b := range bills {
		keys[b.Organisation+" "+b.Key]++
		for _, n := range b.Lines {
			billed[n.Attempt]++
			r, ok := byAttempt[n.Attempt]
			switch {
			case !ok:
				wrong = append(wrong, fmt.Sprintf("bill of %s: no run %s", b.Request, n.Attempt))
			case b.Outcome == "whole" && r.Model != "" && n.Output != uint64(r.Tokens):
				wrong = append(wrong, fmt.Sprintf("bill of %s: %d tokens, the run has %d", b.Request, n.Output, r.Tokens))
			case r.Organisation != b.Organisation:
				wrong = append(wrong, fmt.Sprintf("bill of %s: the run is %s's", b.Request, r.Organisation))
			}
		}
	}
	for _, r := range runs {
		if r.End == "whole" && billed[r.Attempt] != 1 {
			wrong = append(wrong, fmt.Sprintf("run %s is on %d bills", r.Attempt, billed[r.Attempt]))
		}
	}
	for key, n := range keys {
		if n > 1 {
			wrong = append(wrong, fmt.Sprintf("%s has %d bills", strings.TrimSpace(key), n))
		}
	}
	return wrong
}
