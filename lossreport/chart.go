package lossreport

import (
	"time"

	"github.com/go-analyze/charts"
)

const (
	chartWidth  = 1200
	chartHeight = 480
	// labelCount is the number of labelled seconds on the axis.
	labelCount = 12
)

// Chart returns an SVG chart of the outcomes of requests by the second of their end.
func (l *Report) Chart() ([]byte, error) {
	if len(l.requests) == 0 {
		return nil, &EmptyError{}
	}
	from := l.requests[0].at.Truncate(time.Second)
	seconds := int(l.requests[len(l.requests)-1].at.Sub(from)/time.Second) + 1
	values := make([][]float64, len(outcomes))
	place := map[string]int{}
	for i, o := range outcomes {
		values[i], place[o] = make([]float64, seconds), i
	}
	for _, r := range l.requests {
		values[place[r.outcome]][int(r.at.Sub(from)/time.Second)]++
	}
	names := make([]string, seconds)
	for i := range names {
		names[i] = from.Add(time.Duration(i) * time.Second).UTC().Format("15:04:05")
	}
	stacked := true
	option := charts.NewBarChartOptionWithData(values)
	option.StackSeries = &stacked
	option.Title = charts.TitleOption{Text: "Outcomes of requests, by the second of their end"}
	option.CategoryAxis.Labels = names
	option.CategoryAxis.LabelCount = labelCount
	option.Legend = charts.LegendOption{SeriesNames: outcomes, Offset: charts.OffsetStr{Top: "24"}}
	painter := charts.NewPainter(charts.PainterOptions{OutputFormat: charts.ChartOutputSVG, Width: chartWidth, Height: chartHeight})
	if err := painter.BarChart(option); err != nil {
		return nil, err
	}
	return painter.Bytes()
}

// EmptyError reports that the logs contain no finished request.
type EmptyError struct{}

// Error implements error.
func (*EmptyError) Error() string { return "the logs contain no finished request" }
