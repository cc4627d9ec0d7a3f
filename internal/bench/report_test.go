package bench

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A page holds every table and bound, draws columns that are steps of a quantity as
// curves and others as bars, and loads nothing.
func TestReport(t *testing.T) {
	results := []Result{{
		Case: "sizes",
		Text: "what grows <with> the fleet",
		Tables: []Table{
			{Title: "KB a second", Columns: []string{"30", "100", "300"}, Rows: []Row{{"before", []float64{1, 2, 4}}, {"after", []float64{1, 1.5, 2}}}},
			{Title: "shares", Columns: []string{"served", "refused"}, Rows: []Row{{"one way", []float64{0.9, 0.1}}, {"another", []float64{0.8, 0.2}}}},
			{Title: "nothing yet", Columns: []string{"1", "2"}, Rows: []Row{{"zero", []float64{0, 0}}}},
		},
		Bounds: []Bound{{Name: "held", Value: 1, Most: 2}, {Name: "passed", Value: 3, Most: 2}},
		Notes:  []string{"a note"},
	}}
	var b bytes.Buffer
	if err := WriteReport(&b, results); err != nil {
		t.Fatal(err)
	}
	text := b.String()
	for _, want := range []string{"sizes", "what grows &lt;with&gt; the fleet", "KB a second", "one way", "a note", "does not hold"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing", want)
		}
	}
	if n := strings.Count(text, "<svg"); n != 4 {
		t.Errorf("%d charts, want one for each table with steps and one for each row of the other", n)
	}
	for _, no := range []string{"src=", "@import", "<script", "<link"} {
		if strings.Contains(text, no) {
			t.Errorf("it loads something: %q", no)
		}
	}
}

// Results are read as they are printed; rows that don't fit their columns are refused.
func TestReadResults(t *testing.T) {
	want := Result{
		Case:   "sizes",
		Tables: []Table{{Title: "t", Columns: []string{"a"}, Rows: []Row{{"r", []float64{1}}}}},
	}
	text, err := json.Marshal([]Result{want})
	if err != nil {
		t.Fatal(err)
	}
	got, err := ReadResults(bytes.NewReader(text))
	if err != nil || len(got) != 1 || got[0].Tables[0].Rows[0].Values[0] != 1 {
		t.Errorf("%+v, %v", got, err)
	}
	for _, bad := range []string{"", "{}", `[{"case":"c","tables":[{"title":"t","columns":["a","b"],"rows":[{"name":"r","values":[1]}]}]}]`} {
		if _, err := ReadResults(strings.NewReader(bad)); err == nil {
			t.Errorf("%q is taken", bad)
		}
	}
}

// The figures that the pages of docs refer to can be read and drawn.
func TestFiguresOfDocs(t *testing.T) {
	files, err := filepath.Glob("../../docs/figures/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("%v, %v", files, err)
	}
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		results, err := ReadResults(bytes.NewReader(text))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if err := WriteReport(&bytes.Buffer{}, results); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
