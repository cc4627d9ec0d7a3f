package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"persimmoncross/core/coordination/cascade"
)

// The cascade experiment: questions of several organisations and kinds, which
// the cheap model answers well more or less often, and a rater that errs.
const (
	cascadeQuestions = 4000
	cheapPrice       = 1.0
	strongPrice      = 12.0
	strongGood       = 0.97
	cascadeQuality   = 0.65
	ratingGoodMean   = 0.86
	ratingBadMean    = 0.42
	ratingSpread     = 0.12
)

// asker is one organisation's kind of question.
type asker struct {
	organisation string
	body         int     // bytes: its kind
	share        float64 // of all questions
	cheapGood    float64 // how often the cheap model answers well
}

var askers = []asker{
	{
		organisation: "counter",
		body:         200,
		share:        0.5,
		cheapGood:    0.9,
	},
	{
		organisation: "claims",
		body:         3000,
		share:        0.3,
		cheapGood:    0.6,
	},
	{
		organisation: "court",
		body:         30000,
		share:        0.2,
		cheapGood:    0.03,
	},
}

// cascadeWay is a way of using the two models.
type cascadeWay struct {
	name string
	// begin returns the step to start with; always is -1 for "never climb".
	begin func(e *cascade.Estimator, a asker) int
	climb bool
}

var cascadeWays = []cascadeWay{
	{
		name:  "estimated",
		climb: true,
		begin: func(e *cascade.Estimator, a asker) int {
			return e.FirstStep(a.organisation, cascade.SizeClass(a.body), cascadeSteps, time.Minute)
		},
	},
	{
		name:  "always strong",
		begin: func(*cascade.Estimator, asker) int { return 1 },
	},
	{
		name:  "always cheap",
		begin: func(*cascade.Estimator, asker) int { return 0 },
	},
	{
		name:  "fixed threshold",
		climb: true,
		begin: func(*cascade.Estimator, asker) int { return 0 },
	},
}

var cascadeSteps = []cascade.Step{
	{
		Model: "cheap",
		Price: cheapPrice,
	},
	{
		Model: "strong",
		Price: strongPrice,
	},
}

type cascadeCase struct{}

func (cascadeCase) Name() string { return "cascade" }

func (cascadeCase) Run(seed uint64, scale int) Result {
	result := Result{
		Case: "cascade",
		Text: fmt.Sprintf("%d questions: half easy, 30%% middling, 20%% too hard for the cheap model; strong costs %g times cheap", cascadeQuestions*scale, strongPrice/cheapPrice),
	}
	table := Table{
		Title:   "way",
		Columns: []string{"good answers", "cost", "mean steps", "counter", "claims", "court"},
	}
	rows := map[string]Row{}
	for _, w := range cascadeWays {
		row := w.run(seed, cascadeQuestions*scale)
		rows[w.name] = row
		table.Rows = append(table.Rows, row)
	}
	result.Tables = []Table{table}
	own, strong, fixed := rows["estimated"].Values, rows["always strong"].Values, rows["fixed threshold"].Values
	result.Bounds = []Bound{
		{
			Name:  "good answers lost against always strong",
			Value: strong[0] - own[0],
			Most:  0.02,
			Goal:  0.01,
		},
		{
			Name:  "cost, ratio to always strong",
			Value: own[1] / strong[1],
			Most:  0.5,
		},
		{
			Name:  "cost, ratio to the fixed threshold",
			Value: own[1] / fixed[1],
			Most:  1.01,
		},
	}
	return result
}

func (w cascadeWay) run(seed uint64, questions int) Row {
	r := rand.New(rand.NewPCG(seed, 19))
	e := &cascade.Estimator{}
	good, cost, steps := 0.0, 0.0, 0.0
	byAsker := make([][2]float64, len(askers))
	for range questions {
		i := pickAsker(r.Float64())
		a := askers[i]
		cheapRight, strongRight := r.Float64() < a.cheapGood, r.Float64() < strongGood
		rating := ratingBadMean + ratingSpread*r.NormFloat64()
		if cheapRight {
			rating = ratingGoodMean + ratingSpread*r.NormFloat64()
		}
		right := strongRight
		if w.begin(e, a) == 0 {
			steps++
			cost += cheapPrice
			right = cheapRight
			accepted := rating >= cascadeQuality
			e.RecordRating(a.organisation, cascade.SizeClass(a.body), "cheap", accepted)
			if !w.climb || accepted {
				byAsker[i] = addAnswer(byAsker[i], right)
				good += asFloat(right)
				continue
			}
			right = strongRight
		}
		steps++
		cost += strongPrice
		good += asFloat(right)
		byAsker[i] = addAnswer(byAsker[i], right)
	}
	n := float64(questions)
	row := Row{
		Name:   w.name,
		Values: []float64{good / n, cost / n, steps / n},
	}
	for _, b := range byAsker {
		row.Values = append(row.Values, b[0]/b[1])
	}
	return row
}

func pickAsker(at float64) int {
	for i, a := range askers {
		if at -= a.share; at < 0 {
			return i
		}
	}
	return len(askers) - 1
}

func addAnswer(b [2]float64, right bool) [2]float64 {
	return [2]float64{b[0] + asFloat(right), b[1] + 1}
}

func asFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
