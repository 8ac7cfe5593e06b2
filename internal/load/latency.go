package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms, in nanoseconds, and their significant digits.
const (
	histogramLowest  = int64(time.Microsecond)
	histogramHighest = int64(2 * time.Minute)
	histogramDigits  = 3
)

// Latency sums a distribution of durations up, in milliseconds.
type Latency struct {
	Count  int64   `json:"count"`
	MeanMS float64 `json:"mean_ms"`
	P50MS  float64 `json:"p50_ms"`
	P90MS  float64 `json:"p90_ms"`
	P99MS  float64 `json:"p99_ms"`
	P999MS float64 `json:"p999_ms"`
	MaxMS  float64 `json:"max_ms"`
}

// Histogram gathers durations. It is not safe for concurrent use.
type Histogram struct {
	values *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{values: hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)}
}

// Record adds a duration; what lies outside the bounds is taken to them.
func (h *Histogram) Record(value time.Duration) {
	_ = h.values.RecordValue(min(max(int64(value), histogramLowest), histogramHighest))
}

// Quantile returns the duration below which that share of values lies, in
// milliseconds.
func (h *Histogram) Quantile(share float64) float64 {
	return milliseconds(float64(h.values.ValueAtQuantile(share * 100)))
}

// Summary sums the histogram up.
func (h *Histogram) Summary() Latency {
	return Latency{
		Count: h.values.TotalCount(), MeanMS: milliseconds(h.values.Mean()),
		P50MS: h.Quantile(0.5), P90MS: h.Quantile(0.9), P99MS: h.Quantile(0.99), P999MS: h.Quantile(0.999),
		MaxMS: milliseconds(float64(h.values.Max())),
	}
}

func milliseconds(nanoseconds float64) float64 { return nanoseconds / float64(time.Millisecond) }

// Latencies returns the latencies of the answered calls that the filter takes.
func (r *Run) Latencies(take func(*Result) bool) *Histogram {
	histogram := NewHistogram()
	for index := range r.Results {
		result := &r.Results[index]
		if result.Outcome == Answered && take(result) {
			histogram.Record(result.Latency())
		}
	}
	return histogram
}

// Lateness returns how late the generator sent its calls.
func (r *Run) Lateness() *Histogram {
	histogram := NewHistogram()
	for index := range r.Results {
		histogram.Record(r.Results[index].Lateness())
	}
	return histogram
}

// Count returns how many calls ended in one outcome.
func (r *Run) Count(outcome Outcome) int {
	count := 0
	for index := range r.Results {
		if r.Results[index].Outcome == outcome {
			count++
		}
	}
	return count
}
