package bench

import (
	"bufio"
	"cmp"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Scrape holds the metrics of one node, or of several added together.
type Scrape struct {
	Values  map[string]float64
	Buckets map[string][]Bucket
}

// Bucket is a histogram bucket: the number of observations between Low and High.
type Bucket struct {
	Low, High float64
	Count     float64
}

// parseScrape parses metrics in the Prometheus text format, with histogram
// buckets in the vmrange form of VictoriaMetrics.
func parseScrape(reader io.Reader) (Scrape, error) {
	scrape := Scrape{Values: map[string]float64{}, Buckets: map[string][]Bucket{}}
	lines := bufio.NewScanner(reader)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		at := strings.LastIndexByte(line, ' ')
		if at < 0 || line[0] == '#' {
			continue
		}
		value, err := strconv.ParseFloat(line[at+1:], 64)
		if err != nil {
			return Scrape{}, errors.WithMessagef(err, "read the metric %q", line)
		}
		name := line[:at]
		base, limits, isBucket := strings.Cut(name, `_bucket{vmrange="`)
		if !isBucket {
			scrape.Values[name] += value
			continue
		}
		low, high, _ := strings.Cut(strings.TrimSuffix(limits, `"}`), "...")
		bucket := Bucket{Low: parseBound(low), High: parseBound(high), Count: value}
		scrape.Buckets[base] = append(scrape.Buckets[base], bucket)
	}
	return scrape, lines.Err()
}

func parseBound(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return math.Inf(1)
	}
	return value
}

// Add returns the sum of two scrapes.
func (s Scrape) Add(other Scrape) Scrape { return s.combine(other, 1) }

// Sub returns the difference from an earlier scrape.
func (s Scrape) Sub(earlier Scrape) Scrape { return s.combine(earlier, -1) }

func (s Scrape) combine(other Scrape, sign float64) Scrape {
	sum := Scrape{Values: map[string]float64{}, Buckets: map[string][]Bucket{}}
	for name, value := range s.Values {
		sum.Values[name] = value
	}
	for name, value := range other.Values {
		sum.Values[name] += sign * value
	}
	for name, buckets := range s.Buckets {
		sum.Buckets[name] = slices.Clone(buckets)
	}
	for name, buckets := range other.Buckets {
		for _, bucket := range buckets {
			bucket.Count *= sign
			sum.Buckets[name] = addBucket(sum.Buckets[name], bucket)
		}
	}
	return sum
}

func addBucket(buckets []Bucket, bucket Bucket) []Bucket {
	same := func(other Bucket) bool { return other.Low == bucket.Low && other.High == bucket.High }
	if at := slices.IndexFunc(buckets, same); at >= 0 {
		buckets[at].Count += bucket.Count
		return buckets
	}
	return append(buckets, bucket)
}

// Count returns the number of observations in the named histogram.
func (s Scrape) Count(name string) float64 {
	count := 0.0
	for _, bucket := range s.Buckets[name] {
		count += bucket.Count
	}
	return count
}

// Quantile returns the upper bound of the bucket that contains the given quantile
// (0 to 1) of the named histogram, or NaN if it has no observations.
func (s Scrape) Quantile(name string, share float64) float64 {
	buckets := slices.Clone(s.Buckets[name])
	slices.SortFunc(buckets, func(a, b Bucket) int { return cmp.Compare(a.High, b.High) })
	rest := share * s.Count(name)
	if rest <= 0 {
		return math.NaN()
	}
	for _, bucket := range buckets {
		if rest -= bucket.Count; rest <= 0 {
			return bucket.High
		}
	}
	return buckets[len(buckets)-1].High
}

func scrape(client *http.Client, adminAddress string) (Scrape, error) {
	response, err := client.Get("http://" + adminAddress + "/metrics")
	if err != nil {
		return Scrape{}, err
	}
	defer func() { _ = response.Body.Close() }()
	return parseScrape(response.Body)
}
