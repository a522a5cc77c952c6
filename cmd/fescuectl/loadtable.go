package main

import (
	"fmt"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"fescuebank/internal/load/recorder"
)

// row is one measure of the table.
type row struct {
	name  string
	value func(recorder.Report) float64
}

var tableRows = []row{
	{"first token p50 ms", func(r recorder.Report) float64 { return r.FirstTokenMs.P50 }},
	{"first token p95 ms", func(r recorder.Report) float64 { return r.FirstTokenMs.P95 }},
	{"first token p99 ms", func(r recorder.Report) float64 { return r.FirstTokenMs.P99 }},
	{"between tokens p50 ms", func(r recorder.Report) float64 { return r.TokenGapMs.P50 }},
	{"between tokens p95 ms", func(r recorder.Report) float64 { return r.TokenGapMs.P95 }},
	{"between tokens p99 ms", func(r recorder.Report) float64 { return r.TokenGapMs.P99 }},
	{"online tokens/s", func(r recorder.Report) float64 { return r.OnlineTokensPerSecond }},
	{"batch tokens/s", func(r recorder.Report) float64 { return r.BatchTokensPerSecond }},
	{"batch share of idle capacity", func(r recorder.Report) float64 { return r.BatchTokensPerSecond / max(1, r.IdleTokensPerSecond) }},
	{"requests sent", func(r recorder.Report) float64 { return float64(r.Sent) }},
	{"answered whole", func(r recorder.Report) float64 { return float64(r.Complete) }},
	{"refused over rate", func(r recorder.Report) float64 { return float64(r.RateLimited) }},
	{"refused within rate", func(r recorder.Report) float64 { return float64(r.RefusedInRate) }},
	{"failed", func(r recorder.Report) float64 { return float64(r.Failed) }},
	{"retries", func(r recorder.Report) float64 { return float64(r.Retries) }},
	{"peer requests/s per instance", func(r recorder.Report) float64 { return r.ControlCost.PeerRequests }},
	{"peer bytes/s per instance", func(r recorder.Report) float64 { return r.ControlCost.PeerBytes }},
	{"store reads/s per instance", func(r recorder.Report) float64 { return r.ControlCost.StoreReads }},
	{"store writes/s per instance", func(r recorder.Report) float64 { return r.ControlCost.StoreWrites }},
	{"store watches/s per instance", func(r recorder.Report) float64 { return r.ControlCost.StoreWatches }},
	{"cores per instance, all included", func(r recorder.Report) float64 { return r.ControlCost.Cores }},
	{"heap MiB per instance, all included", func(r recorder.Report) float64 { return r.ControlCost.HeapMiB }},
	{"Jain's index", func(r recorder.Report) float64 { return r.JainIndex }},
}

func printReports(w io.Writer, reports []recorder.Report) {
	fmt.Fprint(w, "MEASURE")
	for _, r := range reports {
		fmt.Fprintf(w, "\t%s", r.Name)
	}
	if len(reports) == 2 {
		fmt.Fprint(w, "\tRATIO")
	}
	fmt.Fprintln(w)
	line := func(name string, values ...float64) {
		fmt.Fprint(w, name)
		for _, v := range values {
			fmt.Fprintf(w, "\t%.4g", v)
		}
		if len(values) == 2 && values[0] != 0 {
			fmt.Fprintf(w, "\t%.3f", values[1]/values[0])
		}
		fmt.Fprintln(w)
	}
	for _, row := range tableRows {
		var values []float64
		for _, r := range reports {
			values = append(values, row.value(r))
		}
		line(row.name, values...)
	}
	for _, t := range reports[len(reports)-1].Teams {
		var complete, firstTokenP95 []float64
		for _, r := range reports {
			summary := r.Team(t.Team)
			complete = append(complete, float64(summary.Complete))
			firstTokenP95 = append(firstTokenP95, summary.FirstTokenP95Ms)
		}
		line(string(t.Team)+" answered", complete...)
		line(string(t.Team)+" first token p95 ms", firstTokenP95...)
	}
}

// plotReports plots the quantiles of the time to first token to a file.
func plotReports(file string, reports []recorder.Report) error {
	p := plot.New()
	p.Title.Text = "Time to the first token"
	p.X.Label.Text = "quantile in percent"
	p.Y.Label.Text = "milliseconds"
	p.Y.Min = 0
	for n, r := range reports {
		points := make(plotter.XYs, len(r.FirstTokenCurve))
		for i, point := range r.FirstTokenCurve {
			points[i].X, points[i].Y = point.Quantile, point.Milliseconds
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(n)
		p.Add(line)
		p.Legend.Add(r.Name, line)
	}
	p.Legend.Top = true
	p.Legend.Left = true
	return p.Save(8*vg.Inch, 5*vg.Inch, file)
}
