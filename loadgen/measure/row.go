package measure

// Verdict says whether a figure meets its goal.
type Verdict string

// The verdicts.
const (
	// Pass means that the figure meets the goal.
	Pass Verdict = "pass"
	// Short means that it does not.
	Short Verdict = "short"
	// Info marks a figure without a goal.
	Info Verdict = "info"
)

// Row is one figure of a measure.
type Row struct {
	Measure string  `json:"measure"`
	Name    string  `json:"name"`
	Goal    string  `json:"goal,omitempty"`
	Figure  float64 `json:"figure"`
	Unit    string  `json:"unit,omitempty"`
	Verdict Verdict `json:"verdict"`
}

// atMost returns the row of a figure that must not be above the goal.
func atMost(name string, figure, goal float64, unit string) Row {
	return judged(name, "<= "+number(goal)+unitSuffix(unit), figure, unit, figure <= goal)
}

// atLeast returns the row of a figure that must not be below the goal.
func atLeast(name string, figure, goal float64, unit string) Row {
	return judged(name, ">= "+number(goal)+unitSuffix(unit), figure, unit, figure >= goal)
}

// info returns the row of a figure without a goal.
func info(name string, figure float64, unit string) Row {
	return Row{Name: name, Figure: figure, Unit: unit, Verdict: Info}
}

func judged(name, goal string, figure float64, unit string, met bool) Row {
	verdict := Short
	if met {
		verdict = Pass
	}
	return Row{Name: name, Goal: goal, Figure: figure, Unit: unit, Verdict: verdict}
}
