package admit

import (
	"math"
	"time"
)

// Weights of the moving averages, and the number of mean deviations that a safe
// estimate adds, as TCP's retransmission timer has them (RFC 6298).
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	safeDeviations  = 4
)

// Estimate is a moving mean with its mean deviation.
type Estimate struct {
	mean      float64
	deviation float64
	samples   int
}

// Add takes over a sample.
func (e *Estimate) Add(sample float64) {
	e.samples++
	if e.samples == 1 {
		e.mean, e.deviation = sample, sample/2
		return
	}
	e.deviation += deviationWeight * (math.Abs(sample-e.mean) - e.deviation)
	e.mean += meanWeight * (sample - e.mean)
}

// Mean returns the mean, 0 before the first sample.
func (e *Estimate) Mean() float64 {
	return e.mean
}

// Safe returns a value that is seldom exceeded.
func (e *Estimate) Safe() float64 {
	return e.mean + safeDeviations*e.deviation
}

// WorkModel foretells how long a request of a model runs.
type WorkModel struct {
	first    Estimate
	perToken Estimate
	tokens   Estimate
}

// Add takes over a request that was answered: the time to its first token, its
// tokens, and the time from the first token to the last.
func (m *WorkModel) Add(first time.Duration, tokens int, rest time.Duration) {
	m.first.Add(first.Seconds())
	m.tokens.Add(float64(tokens))
	if tokens > 1 {
		m.perToken.Add(rest.Seconds() / float64(tokens-1))
	}
}

// Expect returns the expected time that a request runs and one that it seldom
// exceeds. maxTokens of 0 means that the request sets no bound.
func (m *WorkModel) Expect(maxTokens int) (work, safe time.Duration) {
	tokens, safeTokens := m.tokens.Mean(), m.tokens.Safe()
	if maxTokens > 0 {
		tokens, safeTokens = min(tokens, float64(maxTokens)), min(safeTokens, float64(maxTokens))
	}
	mean := m.first.Mean() + tokens*m.perToken.Mean()
	most := m.first.Safe() + safeTokens*m.perToken.Safe()
	return time.Duration(mean * float64(time.Second)), time.Duration(most * float64(time.Second))
}

// Tokens returns the expected length of an answer.
func (m *WorkModel) Tokens(maxTokens int) int {
	tokens := int(m.tokens.Mean())
	if maxTokens > 0 && (tokens == 0 || maxTokens < tokens) {
		return maxTokens
	}
	return max(tokens, 1)
}
