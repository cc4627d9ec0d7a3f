package bench

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"strconv"

	"github.com/wcharczuk/go-chart/v2"
)

//go:embed report.html
var reportPage string

var reportTemplate = template.Must(template.New("report").Parse(reportPage))

// page is what the report's template shows.
type page struct {
	Cases []pageCase
}

type pageCase struct {
	Result
	Figures []pageTable
}

type pageTable struct {
	Table
	Charts []template.HTML
}

// WriteReport writes the results as one HTML page with charts in it. It needs no other
// file and no network.
func WriteReport(out io.Writer, results []Result) error {
	var p page
	for _, r := range results {
		c := pageCase{
			Result: r,
		}
		for _, t := range r.Tables {
			charts, err := t.charts()
			if err != nil {
				return fmt.Errorf("%s, %s: %w", r.Case, t.Title, err)
			}
			c.Figures = append(c.Figures, pageTable{
				Table:  t,
				Charts: charts,
			})
		}
		p.Cases = append(p.Cases, c)
	}
	return reportTemplate.Execute(out, p)
}

// ReadResults reads results as they are printed as JSON.
func ReadResults(in io.Reader) ([]Result, error) {
	var results []Result
	if err := json.NewDecoder(in).Decode(&results); err != nil {
		return nil, err
	}
	for _, r := range results {
		for _, t := range r.Tables {
			for _, row := range t.Rows {
				if len(row.Values) != len(t.Columns) {
					return nil, fmt.Errorf("%s, %s, %s: %d values in %d columns", r.Case, t.Title, row.Name, len(row.Values), len(t.Columns))
				}
			}
		}
	}
	return results, nil
}

// charts draws the rows: as curves in one chart where the columns are the steps of a
// quantity, else as bars, a chart a row.
func (t Table) charts() ([]template.HTML, error) {
	if at := t.steps(); at != nil {
		drawn, err := svg(t.curves(at))
		return []template.HTML{drawn}, err
	}
	var charts []template.HTML
	for _, row := range t.Rows {
		drawn, err := svg(t.bars(row, row.Name))
		if err != nil {
			return nil, err
		}
		charts = append(charts, drawn)
	}
	return charts, nil
}

// steps returns the columns as growing numbers, nil if they are not.
func (t Table) steps() []float64 {
	var at []float64
	for _, c := range t.Columns {
		x, err := strconv.ParseFloat(c, 64)
		if err != nil || len(at) > 0 && x <= at[len(at)-1] {
			return nil
		}
		at = append(at, x)
	}
	if len(at) < 2 {
		return nil
	}
	return at
}

// curves draws all rows over the steps.
func (t Table) curves(at []float64) chart.Chart {
	c := chart.Chart{
		Height: plotHeight,
		Width:  plotWidth,
		Background: chart.Style{
			Padding: chart.Box{
				Left: legendWidth,
				Top:  plotMargin,
			},
		},
	}
	most := 0.0
	for i, row := range t.Rows {
		for _, y := range row.Values {
			most = max(most, y)
		}
		style := chart.Style{
			StrokeColor: chart.GetDefaultColor(i),
			StrokeWidth: 2,
			DotColor:    chart.GetDefaultColor(i),
			DotWidth:    3,
		}
		if i >= len(chart.DefaultColors) {
			style.StrokeDashArray = []float64{6, 3} // the colours come again
		}
		c.Series = append(c.Series, chart.ContinuousSeries{
			Name:    row.Name,
			Style:   style,
			XValues: at,
			YValues: row.Values,
		})
	}
	c.YAxis.Range = &chart.ContinuousRange{
		Max: max(most, 1e-9),
	}
	for i, x := range at {
		c.XAxis.Ticks = append(c.XAxis.Ticks, chart.Tick{
			Value: x,
			Label: t.Columns[i],
		})
	}
	c.Elements = []chart.Renderable{chart.LegendLeft(&c)}
	return c
}

// bars draws one row.
func (t Table) bars(row Row, title string) chart.BarChart {
	c := chart.BarChart{
		Title:    title,
		Height:   plotHeight,
		Width:    plotWidth,
		BarWidth: barWidth,
	}
	for i, v := range row.Values {
		c.Bars = append(c.Bars, chart.Value{
			Label: t.Columns[i],
			Value: v,
		})
	}
	return c
}

// renderer is a chart of any kind.
type renderer interface {
	Render(chart.RendererProvider, io.Writer) error
}

// svg draws a chart as a part of a page.
func svg(c renderer) (template.HTML, error) {
	var b bytes.Buffer
	if err := c.Render(chart.SVG, &b); err != nil {
		return "", err
	}
	return template.HTML(b.String()), nil
}
