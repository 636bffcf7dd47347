package relay

import (
	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/team"
)

// needsKey reports whether a request needs a key. route is nil if the configuration has none
// for the request.
func needsKey(c *catalog.Catalog, route *catalog.Route) bool {
	return c.Teams != nil && (route == nil || !route.Public)
}

// priority returns the request's priority; 0 is the most urgent.
func (x *exchange) priority() int {
	return x.team.Rank(x.route.Priority)
}

// teamName returns the name of the caller's team, or "" if it has none.
func (x *exchange) teamName() string {
	return nameOf(x.team)
}

// nameOf returns the name of a team, or "" for nil.
func nameOf(t *team.Team) string {
	if t == nil {
		return ""
	}
	return t.Name
}

// work returns the expected work of the request: tokens for models, 1 for plain services.
func (x *exchange) work() float64 {
	if x.req.Model == "" {
		return 1
	}
	return float64(max(1, x.req.PromptTokens+x.req.MaxTokens))
}
