package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/team"
)

// withTeams gives the configuration of a relay one team for each name, whose key is its name.
func withTeams(t *testing.T, r *Relay, names ...string) {
	var definitions []team.Definition
	for _, name := range names {
		definitions = append(definitions, team.Definition{Team: team.Team{Name: name}, Keys: []string{name}})
	}
	teams, err := team.NewDirectory(definitions)
	require.NoError(t, err)
	c := *r.Catalog()
	c.Teams = teams
	r.Dependencies.Catalog = func() *catalog.Catalog { return &c }
}

func requestOf(teamName, kind, model string) *Request {
	req := request(kind, model)
	req.Credential = team.Credential{Digest: team.DigestOf(teamName), Presented: true}
	return req
}

// TestFloodOfTeam guards against a team whose flood makes requests of another one fail: the flood
// sends four times as many requests as the endpoints can serve, the other team a tenth.
func TestFloodOfTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelay(&slowEndpoints{latency: 250 * time.Millisecond})
		withTeams(t, r, "flood", "calm")
		const (
			// perSecond is what three endpoints with four slots each can serve.
			perSecond = 48
			seconds   = 12
		)
		var callers sync.WaitGroup
		var mu sync.Mutex
		answered, failed := map[string]int{}, map[string]int{}
		send := func(name string) {
			callers.Go(func() {
				failure := r.Serve(context.Background(), requestOf(name, "repeat", "m"), &fakeAnswer{})
				mu.Lock()
				defer mu.Unlock()
				if failure == nil {
					answered[name]++
				} else {
					failed[name]++
				}
			})
		}
		for i := range 4 * perSecond * seconds {
			send("flood")
			if i%40 == 0 {
				send("calm")
			}
			time.Sleep(time.Second / (4 * perSecond))
		}
		callers.Wait()
		require.LessOrEqual(t, 100*failed["calm"], 2*answered["calm"], "requests of the other team failed")
		require.GreaterOrEqual(t, answered["calm"]+answered["flood"], perSecond*seconds*9/10, "slots were left unused")
	})
}
