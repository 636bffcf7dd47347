package placement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/placement"
)

const gigabyte = 1_000_000_000

func candidate(name string, change func(*placement.Candidate)) placement.Candidate {
	c := placement.Candidate{
		Name: name, DataCentre: "a", Usable: true, MemoryTotal: 24 * gigabyte,
		Tier: engine.TierRemote, TokensPerSecond: 100,
	}
	change(&c)
	return c
}

func TestPick(t *testing.T) {
	plain := func(*placement.Candidate) {}
	cases := []struct {
		name   string
		first  func(*placement.Candidate)
		second func(*placement.Candidate)
		avoid  []string
		want   string
	}{
		{"checkpoint on disk before free memory", func(c *placement.Candidate) { c.Tier, c.MemoryUsed = engine.TierDisk, 10*gigabyte }, plain, nil, "first"},
		{"checkpoint in memory before disk", func(c *placement.Candidate) { c.Tier = engine.TierDisk }, func(c *placement.Candidate) { c.Tier = engine.TierMemory }, nil, "second"},
		{"faster engine first", plain, func(c *placement.Candidate) { c.TokensPerSecond = 200 }, nil, "second"},
		{"a full engine with idle models is evicted", func(c *placement.Candidate) {
			c.MemoryUsed, c.Evictable, c.EvictableModels = 24*gigabyte, 12*gigabyte, 1
		}, func(c *placement.Candidate) { c.Usable = false }, nil, "first"},
		{"a full engine in use is excluded", func(c *placement.Candidate) { c.MemoryUsed = 24 * gigabyte }, func(c *placement.Candidate) { c.DataCentre = "b" }, nil, "second"},
		{"free memory before an eviction", func(c *placement.Candidate) {
			c.MemoryUsed, c.Evictable, c.EvictableModels = 24*gigabyte, 24*gigabyte, 2
		}, plain, nil, "second"},
		{"disk in another data centre before the weight store", plain, func(c *placement.Candidate) { c.DataCentre, c.Tier = "b", engine.TierDisk }, nil, "second"},
		{"the callers' data centre first", func(c *placement.Candidate) { c.DataCentre = "b" }, plain, nil, "second"},
		{"replicas are spread over data centres", func(c *placement.Candidate) { c.Replicas = 1 }, func(c *placement.Candidate) { c.DataCentre = "b" }, nil, "second"},
		{"less busy engine first", func(c *placement.Candidate) { c.Running, c.Queued = 16, 8 }, plain, nil, "second"},
		{"engine without loads in progress first", func(c *placement.Candidate) { c.Loading = 2 }, plain, nil, "second"},
		{"an avoided engine is excluded", func(c *placement.Candidate) { c.Tier = engine.TierDisk }, plain, []string{"first"}, "second"},
		{"all engines are excluded", func(c *placement.Candidate) { c.Usable = false }, plain, []string{"second"}, ""},
	}
	policy := placement.ByTier(placement.DefaultSettings())
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			req := placement.Request{Model: "m", MemoryBytes: 10 * gigabyte, CheckpointBytes: 3 * gigabyte, DataCentre: "a", Avoid: tc.avoid}
			candidates := []placement.Candidate{candidate("first", tc.first), candidate("second", tc.second)}
			choice, ok := policy.Pick(req, candidates)
			require.Equal(t, tc.want != "", ok)
			require.Equal(t, tc.want, choice.Candidate.Name)
		})
	}
}
