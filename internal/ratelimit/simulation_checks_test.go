package ratelimit

import (
	"time"

	"github.com/stretchr/testify/require"
)

// allowed returns what a team may use in a window. A changed limit binds one window after it is
// in force.
func (s *teamSimulation) allowed(team string, from time.Duration) float64 {
	allowed := 0.0
	limits := s.limits[team]
	for i, l := range limits {
		ended := i+1 < len(limits) && limits[i+1].from <= from-simWindow
		if l.from <= from+simWindow && !ended {
			allowed = max(allowed, (l.limit.PerSecond*simWindow.Seconds()+l.limit.Burst)*(1+simOverage)+s.bounds.Slack)
		}
	}
	return allowed
}

// checkBound checks all windows of all teams.
func (s *teamSimulation) checkBound() {
	s.t.Helper()
	for team, runs := range s.runs {
		used, first, worst := 0.0, 0, 0.0
		for _, last := range runs {
			used += last.cost
			for last.at-runs[first].at >= simWindow {
				used -= runs[first].cost
				first++
			}
			allowed := s.allowed(team, runs[first].at)
			worst = max(worst, used/allowed)
			if used > allowed {
				s.t.Fatalf("team %s used %.0f in %v from %v, %.0f are allowed", team, used, simWindow, runs[first].at-time.Hour, allowed)
			}
		}
		s.t.Logf("team %s: at most %.2f of what a window allows, %d requests ran, %d asks", team, worst, len(runs), s.asks)
	}
}

// checkUse runs the simulation for a time in steady state, and checks that each team gets what is
// usable of its limit.
func (s *teamSimulation) checkUse(d time.Duration) {
	s.t.Helper()
	from := s.now
	s.run(d)
	for _, team := range s.teams {
		used := 0.0
		for _, r := range s.runs[team.name] {
			if r.at >= from {
				used += r.cost
			}
		}
		limit, _ := s.limit(team.name)
		require.GreaterOrEqual(s.t, used, simUse*limit.PerSecond*d.Seconds(), "team %s", team.name)
	}
}
