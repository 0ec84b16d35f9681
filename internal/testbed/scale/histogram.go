package scale

import (
	"bytes"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latencies are recorded from one microsecond to two minutes, with three significant digits.
const (
	minLatencyMicros = 1
	maxLatencyMicros = 120_000_000
	latencyDigits    = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
}

// recordLatency records a latency. A latency outside the range is recorded as the nearest limit.
func recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	// RecordValue fails only for a value out of range.
	_ = histogram.RecordValue(min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

func encodeHistogram(histogram *hdrhistogram.Histogram) ([]byte, error) {
	return histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
}

// mergeEncoded adds an encoded histogram, as sent by a child, to the histogram into.
func mergeEncoded(into *hdrhistogram.Histogram, encoded []byte) error {
	if len(encoded) == 0 {
		return nil
	}
	histogram, err := hdrhistogram.Decode(bytes.Clone(encoded))
	if err != nil {
		return err
	}
	into.Merge(histogram)
	return nil
}

// Delay summarizes the distribution of a duration, in milliseconds.
type Delay struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"worst_ms"`
}

func delayOf(histogram *hdrhistogram.Histogram) Delay {
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	return Delay{
		Count: histogram.TotalCount(),
		P50:   millis(histogram.ValueAtQuantile(50)),
		P99:   millis(histogram.ValueAtQuantile(99)),
		Max:   millis(histogram.Max()),
	}
}
