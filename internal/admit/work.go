package admit

import (
	"math"
	"time"
)

// Weights of the moving averages, and the number of mean deviations that a safe
// estimate adds to the mean, as in TCP's retransmission timer (RFC 6298).
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	safeDeviations  = 4
)

// Estimate is an exponential moving average with its mean deviation.
type Estimate struct {
	mean      float64
	deviation float64
	samples   int
}

// Add adds a sample.
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

// Safe returns a value that is rarely exceeded.
func (e *Estimate) Safe() float64 {
	return e.mean + safeDeviations*e.deviation
}

// WorkModel predicts the running time of requests for a model.
type WorkModel struct {
	// first is the time to the first token and perToken the time between tokens,
	// in seconds; tokens is the length of the output.
	first    Estimate
	perToken Estimate
	tokens   Estimate
}

// Add adds the measurements of a completed request: the time to its first
// token, the number of its tokens, and the time from the first token to the
// last.
func (m *WorkModel) Add(first time.Duration, tokens int, rest time.Duration) {
	m.first.Add(first.Seconds())
	m.tokens.Add(float64(tokens))
	if tokens > 1 {
		m.perToken.Add(rest.Seconds() / float64(tokens-1))
	}
}

// Expect returns the expected running time of a request and one that it rarely
// exceeds. maxTokens is the request's limit on output tokens, 0 for none.
func (m *WorkModel) Expect(maxTokens int) (work, safe time.Duration) {
	tokens, safeTokens := m.tokens.Mean(), m.tokens.Safe()
	if maxTokens > 0 {
		tokens, safeTokens = min(tokens, float64(maxTokens)), min(safeTokens, float64(maxTokens))
	}
	mean := m.first.Mean() + tokens*m.perToken.Mean()
	high := m.first.Safe() + safeTokens*m.perToken.Safe()
	return time.Duration(mean * float64(time.Second)), time.Duration(high * float64(time.Second))
}

// Tokens returns the expected number of output tokens of a request.
func (m *WorkModel) Tokens(maxTokens int) int {
	tokens := int(m.tokens.Mean())
	if maxTokens > 0 && (tokens == 0 || maxTokens < tokens) {
		return maxTokens
	}
	return max(tokens, 1)
}
