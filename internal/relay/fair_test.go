package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/fairshare"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/team"
	"chestnutgauge/internal/waitqueue"
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

// leadOf is the owner's answer that a team is ahead of its fair share, of which all is this node's
// part.
func leadOf(name string, perSecond float64) []fairshare.Lead {
	return []fairshare.Lead{{Key: fairshare.Key{Service: "s", Team: name}, Ahead: 50, PerSecond: perSecond, Demand: 100}}
}

// busyRelay returns a relay all of whose slots are taken by requests without a team but one, and
// whose meter has reported work of the flood.
func busyRelay(t *testing.T, callers *sync.WaitGroup) *Relay {
	r := newRelay(&slowEndpoints{latency: 2 * time.Second})
	r.Shares = fairshare.NewMeter()
	withTeams(t, r, "flood", "calm")
	for range 11 {
		callers.Go(func() { _ = r.Serve(context.Background(), requestOf("calm", "once", "m"), &fakeAnswer{}) })
		synctest.Wait()
	}
	r.Shares.Served(fairshare.Key{Service: "s", Team: "flood"}, 100)
	r.Shares.Report(time.Now())
	return r
}

// TestHeldBack guards against a team that takes the last slots although it is ahead of its fair share
// over all nodes while others wait: its request waits for its turn, one of another team does not, and
// once the owner no longer names the team, its request goes at once.
func TestHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var callers sync.WaitGroup
		r := busyRelay(t, &callers)
		defer callers.Wait()
		r.HoldBack(leadOf("flood", 1), time.Now())
		sent := func() int {
			endpoints := r.Sender.(*slowEndpoints)
			endpoints.mu.Lock()
			defer endpoints.mu.Unlock()
			return len(endpoints.ids)
		}
		callers.Go(func() {
			require.Nil(t, r.Serve(context.Background(), requestOf("flood", "repeat", "m"), &fakeAnswer{}))
		})
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, 11, sent())
		want := fairshare.Use{Key: fairshare.Key{Service: "s", Team: "flood"}, Waiting: 1}
		require.Equal(t, []fairshare.Use{want}, r.Shares.Report(time.Now()))
		r.HoldBack(nil, time.Now())
		time.Sleep(2 * fullPollInterval)
		require.Equal(t, 12, sent())
	})
}

// TestHoldTooLong guards against a request that waits although its team may not dispatch it in time,
// and against a Retry-After at which it would be refused again: it is refused at once, with the time
// until the turn of its team.
func TestHoldTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var callers sync.WaitGroup
		r := busyRelay(t, &callers)
		defer callers.Wait()
		r.HoldBack(leadOf("flood", 0.5), time.Now())
		// The team has just dispatched a request, and may dispatch the next one after two seconds more.
		key := waitqueue.Key{Service: "s", Model: "m"}
		r.queues.Dispatched(key, waitqueue.Request{Team: "flood", Work: 1}, time.Now())
		started := time.Now()
		failure := r.Serve(context.Background(), requestOf("flood", "repeat", "m"), &fakeAnswer{})
		require.Equal(t, ReasonFull, failure.Reason)
		require.Equal(t, outcome.NotRun, failure.Run)
		require.Zero(t, time.Since(started))
		require.InDelta(t, 2500*time.Millisecond, failure.RetryAfter, float64(time.Millisecond))
	})
}

// TestNoTeams guards against reports of work while the configuration has no teams.
func TestNoTeams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelay(&slowEndpoints{latency: 100 * time.Millisecond})
		r.Shares = fairshare.NewMeter()
		require.Nil(t, r.Serve(context.Background(), request("repeat", "m"), &fakeAnswer{}))
		require.Empty(t, r.Shares.Report(time.Now()))
	})
}
