package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/wcharczuk/go-chart/v2"
)

// Size of a plot, in pixels.
const (
	plotHeight = 420
	plotWidth  = 960
	barWidth   = 40
	// legendWidth is kept free for the names of curves, plotMargin above them.
	legendWidth = 200
	plotMargin  = 20
)

// Plot draws each row of the result's first table as bars, an SVG file a row.
func (r Result) Plot(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	t := r.Tables[0]
	for _, row := range t.Rows {
		bars := t.bars(row, fmt.Sprintf("%s: %s, %s", r.Case, row.Name, t.Title))
		if err := draw(filepath.Join(folder, fileName(r.Case+" "+row.Name)), bars); err != nil {
			return err
		}
	}
	return nil
}

func draw(path string, bars chart.BarChart) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return bars.Render(chart.SVG, f)
}

// fileName makes a file's name of a title.
func fileName(title string) string {
	keep := func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= '0' && c <= '9' {
			return c
		}
		return '-'
	}
	return strings.Map(keep, strings.ToLower(title)) + ".svg"
}
