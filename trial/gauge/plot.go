package gauge

import (
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"carawaymux.dev/trial/load"
)

// Size of the pictures.
const (
	width  = 9 * vg.Inch
	height = 5 * vg.Inch
	// bucket is the interval that one point of a curve summarizes.
	bucket = 250 * time.Millisecond
)

// plotFlood draws the p99 latency of each kind over the time of a run with floods.
func plotFlood(path string, d deployment, results []load.Result, length time.Duration) error {
	p := plot.New()
	p.Title.Text = d.name + ": each kind in turn floods at 20 times its mean rate, urgency low"
	p.X.Label.Text, p.Y.Label.Text = "time (s)", "p99 of requests done (ms)"
	p.Legend.Top = true
	var lines []any
	for _, kind := range d.services {
		var points plotter.XYs
		for from := time.Duration(0); from < length; from += bucket {
			got := summarize(results, func(r load.Result) bool { return r.Kind == kind && r.Due >= from && r.Due < from+bucket })
			if got.n > 0 && got.p99 > 0 {
				points = append(points, plotter.XY{X: from.Seconds(), Y: float64(got.p99) / float64(time.Millisecond)})
			}
		}
		lines = append(lines, kind, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(width, height, path)
}

// plotWave draws the number of hosts not yet maintained and of hosts out of service over the
// time of a wave.
func plotWave(path string, samples []waveSample) error {
	p := plot.New()
	p.Title.Text = "maintenance wave over all pools"
	p.X.Label.Text, p.Y.Label.Text = "time (s)", "hosts"
	p.Legend.Top = true
	var left, out plotter.XYs
	for _, s := range samples {
		left = append(left, plotter.XY{X: s.at.Seconds(), Y: float64(s.remaining)})
		out = append(out, plotter.XY{X: s.at.Seconds(), Y: float64(s.outOfService)})
	}
	if err := plotutil.AddLines(p, "not yet maintained", left, "out of service", out); err != nil {
		return err
	}
	return p.Save(width, height, path)
}
