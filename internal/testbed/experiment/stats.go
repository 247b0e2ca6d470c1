package experiment

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Exponent returns the power of x by which y grows: the slope of the least-squares line of both logarithms. Pairs with a
// value that is
// not over 0 are left out; NaN where fewer than two different x are left.
func Exponent(xs, ys []float64) float64 {
	n, sx, sy, sxx, sxy := 0.0, 0.0, 0.0, 0.0, 0.0
	for i := range xs {
		if xs[i] <= 0 || ys[i] <= 0 {
			continue
		}
		x, y := math.Log(xs[i]), math.Log(ys[i])
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	if d := n*sxx - sx*sx; d > 1e-12 {
		return (n*sxy - sx*sy) / d
	}
	return math.NaN()
}

// Interval returns the mean of values and the bounds of its 95% bootstrap interval.
func Interval(values []float64) (mean, low, high float64) {
	const draws = 2000
	if len(values) == 0 {
		return math.NaN(), math.NaN(), math.NaN()
	}
	r := rand.New(rand.NewPCG(1, 2))
	means := make([]float64, draws)
	for i := range means {
		for range values {
			means[i] += values[r.IntN(len(values))]
		}
		means[i] /= float64(len(values))
	}
	slices.Sort(means)
	for _, v := range values {
		mean += v / float64(len(values))
	}
	return mean, means[draws/40], means[draws-1-draws/40]
}

// Figure is a measure of a result that sweeps and comparisons use.
type Figure struct {
	Name  string
	Tells string
	Of    func(r *Result) float64
}

// Figures lists all measures.
var Figures = []Figure{
	{"worth", "share of the worth earned", func(r *Result) float64 { return r.Earned }},
	{"served", "share of the wishes served", func(r *Result) float64 { return r.Share }},
	{"worst", "worth of the worst ten seconds", func(r *Result) float64 { return r.Worst }},
	{"broken", "days with something broken", func(r *Result) float64 { return float64(min(1, len(r.Broken))) }},
	{"p50_ms", "median of what was served, from the first try", quantile(50)},
	{"p99_ms", "99th of a hundred of the same", quantile(99)},
	{"further", "further tries at servers for each try of a client", func(r *Result) float64 { return float64(r.Further) / math.Max(1, float64(r.Tries)) }},
	{"messages", "a node and second, between machines of the system", func(r *Result) float64 { return r.Mail.ANodeS }},
	{"bytes", "a node and second, between machines of the system", func(r *Result) float64 { return r.Mail.BNodeS }},
	{"lists", "calls of the platform's list a second", func(r *Result) float64 { return float64(r.Lists) / math.Max(1, r.Virtual) }},
	{"cpu_ms", "processor a node and virtual second, with all that is around it", func(r *Result) float64 {
		return 1000 * r.CPU / math.Max(1, float64(r.Nodes)) / math.Max(1, r.Virtual)
	}},
	{"memory_mb", "heap in use a node, with all that is around it", func(r *Result) float64 { return r.Memory / math.Max(1, float64(r.Nodes)) }},
}

func quantile(part float64) func(r *Result) float64 {
	return func(r *Result) float64 {
		if r.Took == nil {
			return math.NaN()
		}
		return float64(hdrhistogram.Import(r.Took).ValueAtQuantile(part)) / 1000
	}
}
