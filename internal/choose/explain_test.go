package choose

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestExplain guards against an explanation that differs from the decision: what is excluded must
// never be chosen, and with one chooser the cheapest of the others must be.
func TestExplain(t *testing.T) {
	candidates := []Candidate{
		with(idle("leaving"), func(c *Candidate) { c.Leaving = true }),
		with(idle("ejected"), func(c *Candidate) { c.EjectedUntil = now.Add(time.Second) }),
		with(idle("full"), func(c *Candidate) { c.InFlight = 4 }),
		with(idle("away"), func(c *Candidate) { c.DataCentre = "other" }),
		with(idle("busy"), func(c *Candidate) { c.InFlight = 2 }),
		idle("best"),
	}
	req := Request{Now: now, DataCentre: "own", Tokens: 80, Choosers: 1}
	excluded := map[string]string{}
	cheapest := Explained{Cost: time.Hour}
	for _, e := range Fastest().Explain(req, candidates) {
		var sum time.Duration
		for _, part := range e.Parts {
			sum += part.Cost
		}
		require.Equal(t, sum, e.Cost)
		if e.ExcludedBy != "" {
			excluded[e.Name] = e.ExcludedBy
		} else if e.Cost < cheapest.Cost {
			cheapest = e
		}
	}
	require.Equal(t, map[string]string{"leaving": "AcceptsWork", "ejected": "NotEjected", "full": "HasRoom"}, excluded)
	chosen, verdict := Fastest().Choose(req, candidates, rand.New(rand.NewPCG(1, 1)))
	require.Equal(t, Found, verdict)
	require.Equal(t, cheapest.Name, chosen.Name)
}
