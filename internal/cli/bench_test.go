package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A report is written of results that were printed before; a case that is not among
// them is an error, and leaves no file.
func TestBenchReportOfResults(t *testing.T) {
	folder := t.TempDir()
	results := filepath.Join(folder, "results.json")
	text := `[{"case":"one","text":"t","tables":[{"title":"k","columns":["1","2"],"rows":[{"name":"r","values":[1,2]}]}],"bounds":[{"name":"b","value":3,"most":2}]}]`
	if err := os.WriteFile(results, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	run := func(name string, check bool) (string, string, error) {
		report := filepath.Join(folder, name+".html")
		c := benchmark{
			name:    name,
			check:   check,
			results: results,
			report:  report,
		}
		var out bytes.Buffer
		err := c.run(context.Background(), &environment{
			out: &out,
		})
		page, _ := os.ReadFile(report) // none if it was not written
		return out.String(), string(page), err
	}
	out, page, err := run("one", false)
	if err != nil || !strings.Contains(out, "one: t") || !strings.Contains(page, "<svg") {
		t.Errorf("%v\n%s\n%s", err, out, page)
	}
	if _, page, err := run("one", true); err == nil || page == "" {
		t.Errorf("a bound that does not hold: %v, a page of %d bytes", err, len(page))
	}
	if _, page, err := run("two", false); err == nil || page != "" {
		t.Errorf("a case that is not there: %v, a page of %d bytes", err, len(page))
	}
}
