package canary

import "math"

const (
	// falseAlarm and falseTrust are the error rates of one sequential test: that it speaks
	// against an upstream that is as good as the old ones, and for a version whose share of
	// bad answers is higher by the least excess. A version is only found bad by two upstreams.
	falseAlarm = 0.001
	falseTrust = 0.05
	// lateTrust replaces falseTrust for a single route once little time is left for the
	// shift. The test is truncated then: the answers on all routes together must still rule
	// out the excess, and no single route may speak for it by more than this ratio.
	lateTrust = 10
	// leastFailing and leastSlow are the smallest excesses that matter, of the share of
	// answers that fail, and of those that are slow.
	leastFailing = 0.2
	leastSlow    = 0.3
	// lowestBase is the share of bad answers that the old version is always granted.
	lowestBase = 0.005
	// baseMargin is how many standard errors the old version's share may lie above what
	// was seen.
	baseMargin = 1.5
	// commonSlow and rareSlow are the shares of the old version's answers that count as
	// slow: the first finds a version that is slower as a whole, the second one that is
	// so in a part of its answers.
	commonSlow = 0.2
	rareSlow   = 0.02
)

// excesses are the alternatives that the mixture of likelihood ratios weighs evenly.
var excesses = [...]float64{0.1, 0.2, 0.4, 0.8}

// sample is a number of answers, and how many of them were bad.
type sample struct{ hits, total float64 }

// base returns an upper estimate of the share of bad answers.
func (s sample) base() float64 {
	share := (s.hits + 1) / (s.total + 2)
	return max(share+float64(baseMargin*math.Sqrt(share*(1-share)/(s.total+2))), lowestBase)
}

// logRatio returns the logarithm of the likelihood of the sample if the share is higher than
// base by excess, divided by its likelihood if it is base.
func (s sample) logRatio(base, excess float64) float64 {
	const highest = 0.98
	base = min(base, highest)
	share := min(base+excess, (1+highest)/2)
	return float64(s.hits*math.Log(share/base)) + float64((s.total-s.hits)*math.Log((1-share)/(1-base)))
}

// against returns the logarithm of the evidence that a sample is worse than one of the old
// version: a mixture of likelihood ratios, whose probability to ever exceed 1/α is at most α
// if it is not worse.
func (s sample) against(old sample) float64 {
	if s.hits == 0 {
		return 0
	}
	base := old.base()
	var logs [len(excesses)]float64
	highest := math.Inf(-1)
	for number, excess := range excesses {
		logs[number] = s.logRatio(base, excess)
		highest = max(highest, logs[number])
	}
	var sum float64
	for _, value := range logs {
		sum += math.Exp(value - highest)
	}
	return highest + math.Log(sum/float64(len(logs)))
}

// clears reports whether a sample rules out, at an error rate, that its share of bad answers
// is higher than the old version's by an excess.
func (s sample) clears(old sample, excess, rate float64) bool {
	return s.logRatio(old.share(), excess) <= math.Log(rate)
}

func (s sample) share() float64 {
	if s.total == 0 {
		return lowestBase
	}
	return max(s.hits/s.total, lowestBase)
}

// slowClasses returns the classes of durations above which an answer counts as slow: one
// above those that at most commonSlow and rareSlow of the old version's answers exceed, so
// that a version which is slower by a third is not found bad.
func (c *counts) slowClasses() [2]int {
	var classes [2]int
	for number, share := range []float64{commonSlow, rareSlow} {
		class := 0
		for class < DurationClasses-1 {
			if slow := c.slow(class); slow.hits <= share*slow.total {
				break
			}
			class++
		}
		classes[number] = class + 1
	}
	return classes
}

// comparison returns the samples of the new and the old version in each respect.
func comparison(trial, control *counts) (pairs [3][2]sample) {
	pairs[0] = [2]sample{{trial.failures, trial.answers}, {control.failures, control.answers}}
	for number, class := range control.slowClasses() {
		pairs[number+1] = [2]sample{trial.slow(class), control.slow(class)}
	}
	return pairs
}

// respects are those of a comparison, with the least excess that matters.
var respects = [3]struct {
	name   string
	excess float64
}{{"failures", leastFailing}, {"slow answers", leastSlow}, {"very slow answers", leastSlow}}
