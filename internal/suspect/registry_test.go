package suspect_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chestnutgauge/internal/suspect"
)

// content returns a request by its content.
func content(n int) suspect.Request {
	return suspect.Request{Content: suspect.Digest(n)}
}

// crashUnder records the crash of an endpoint under one request.
func crashUnder(r *suspect.Registry, endpoint string, victim suspect.Victim, at time.Time) {
	r.Crashed(endpoint, []suspect.Victim{victim}, at)
}

// TestCheck checks when a request is suspected, blocked and cleared.
func TestCheck(t *testing.T) {
	victim := suspect.Victim{Request: content(1)}
	begun := suspect.Victim{Request: content(1), Begun: true}
	alone := suspect.Victim{Request: content(1), Alone: true}
	tests := []struct {
		name  string
		do    func(r *suspect.Registry)
		after time.Duration
		want  suspect.State
	}{
		{"unknown", func(*suspect.Registry) {}, 0, suspect.Unsuspected},
		{"one crash", func(r *suspect.Registry) { crashUnder(r, "e1", victim, now) }, 0, suspect.Suspected},
		{"one crash after the response began", func(r *suspect.Registry) { crashUnder(r, "e1", begun, now) }, 0, suspect.Unsuspected},
		{"two crashes after the response began", func(r *suspect.Registry) {
			crashUnder(r, "e1", begun, now)
			crashUnder(r, "e2", begun, now)
		}, 0, suspect.Suspected},
		{"many crashes beside others", func(r *suspect.Registry) {
			for i := range 20 {
				crashUnder(r, fmt.Sprint("e", i), victim, now)
			}
		}, 0, suspect.Suspected},
		{"a crash alone", func(r *suspect.Registry) { crashUnder(r, "e1", alone, now) }, 0, suspect.Blocked},
		{"a crash alone, tried again later", func(r *suspect.Registry) { crashUnder(r, "e1", alone, now) }, time.Minute, suspect.Suspected},
		{"a second crash alone blocks for longer", func(r *suspect.Registry) {
			crashUnder(r, "e1", alone, now)
			crashUnder(r, "e2", alone, now)
		}, time.Minute, suspect.Blocked},
		{"crashes alone after many beside others", func(r *suspect.Registry) {
			for i := range 20 {
				crashUnder(r, fmt.Sprint("e", i), victim, now)
			}
			crashUnder(r, "f1", alone, now)
			crashUnder(r, "f2", alone, now)
		}, 0, suspect.Blocked},
		{"a whole response", func(r *suspect.Registry) {
			crashUnder(r, "e1", alone, now)
			r.Answered(content(1), now)
		}, 0, suspect.Unsuspected},
		{"a crash after a whole response", func(r *suspect.Registry) {
			crashUnder(r, "e1", victim, now)
			r.Answered(content(1), now)
			crashUnder(r, "e2", victim, now)
		}, 0, suspect.Suspected},
		{"a crash long ago", func(r *suspect.Registry) { crashUnder(r, "e1", victim, now) }, time.Hour, suspect.Unsuspected},
		{"another request", func(r *suspect.Registry) { crashUnder(r, "e1", suspect.Victim{Request: content(2), Alone: true}, now) }, 0, suspect.Unsuspected},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := suspect.NewRegistry()
			test.do(r)
			require.Equal(t, test.want, r.Check(content(1), now.Add(test.after)).State)
		})
	}
}

// TestBlocksGrow checks that a request that crashes an endpoint whenever it is tried
// again is tried ever more rarely, but at least once in a while.
func TestBlocksGrow(t *testing.T) {
	r := suspect.NewRegistry()
	at := now
	trials := 0
	for ; at.Before(now.Add(24 * time.Hour)); at = at.Add(time.Second) {
		if r.Check(content(1), at).State == suspect.Blocked {
			continue
		}
		crashUnder(r, fmt.Sprint("e", trials), suspect.Victim{Request: content(1), Alone: true}, at)
		trials++
	}
	require.GreaterOrEqual(t, trials, 20)
	require.LessOrEqual(t, trials, 60)
}

// exchange sends the changes of one registry to another.
func exchange(from, to *suspect.Registry, at time.Time) {
	version := int64(0)
	for {
		marks, next := from.AllSince(version, at)
		to.Merge(marks, at)
		if next == version {
			return
		}
		version = next
	}
}

// TestRegistriesAgree checks that nodes that exchange what they know, in any order and
// more than once, come to the same verdicts, whatever crashed and was answered where.
func TestRegistriesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes, contents, endpoints = 4, 3, 6
		registries := make([]*suspect.Registry, nodes)
		for i := range registries {
			registries[i] = suspect.NewRegistry()
		}
		node := rapid.IntRange(0, nodes-1)
		at := now
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			r := registries[node.Draw(t, "node")]
			request := content(rapid.IntRange(1, contents).Draw(t, "content"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				victim := suspect.Victim{Request: request, Begun: rapid.Bool().Draw(t, "begun"), Alone: rapid.Bool().Draw(t, "alone")}
				crashUnder(r, fmt.Sprint("e", rapid.IntRange(1, endpoints).Draw(t, "endpoint")), victim, at)
			case 1:
				r.Answered(request, at)
			default:
				exchange(r, registries[node.Draw(t, "to")], at)
			}
		}
		for range nodes {
			for i, r := range registries {
				exchange(r, registries[(i+1)%nodes], at)
			}
		}
		for n := 1; n <= contents; n++ {
			want := registries[0].Check(content(n), at).State
			for i, r := range registries {
				require.Equal(t, want, r.Check(content(n), at).State, "content %d at node %d", n, i)
			}
		}
	})
}

// TestRegistryIsBounded checks that neither many suspects nor many crashes of one grow
// the registry or its messages without bound, and that a receiver gets all.
func TestRegistryIsBounded(t *testing.T) {
	r := suspect.NewRegistry()
	for n := range 5000 {
		crashUnder(r, fmt.Sprint("e", n), suspect.Victim{Request: content(n)}, now)
		crashUnder(r, fmt.Sprint("e", n), suspect.Victim{Request: content(-1)}, now)
	}
	require.LessOrEqual(t, r.Len(), 1024)
	marks, _ := r.AllSince(0, now)
	require.LessOrEqual(t, len(marks), 256)
	other := suspect.NewRegistry()
	exchange(r, other, now)
	require.Equal(t, r.Len(), other.Len())
	i := slices.IndexFunc(marks, func(m suspect.CrashMark) bool { return len(m.Crashes) > 8 })
	require.Negative(t, i)
}

// TestOwnSince checks that a node passes on only what it has seen itself, and only once.
func TestOwnSince(t *testing.T) {
	node, other := suspect.NewRegistry(), suspect.NewRegistry()
	crashUnder(other, "e1", suspect.Victim{Request: content(1)}, now)
	exchange(other, node, now)
	own, version := node.OwnSince(0, now)
	require.Empty(t, own)
	crashUnder(node, "e2", suspect.Victim{Request: content(2)}, now)
	own, version = node.OwnSince(version, now)
	require.Len(t, own, 1)
	own, _ = node.OwnSince(version, now)
	require.Empty(t, own)
	require.True(t, node.Answered(content(1), now))
	own, _ = node.OwnSince(version, now)
	require.Len(t, own, 1, "a suspect that the node has cleared")
	require.False(t, node.Answered(content(1), now))
}

// TestTrials checks that one suspect at a time is on an endpoint, and that no two with
// the same digest run at once.
func TestTrials(t *testing.T) {
	var trials suspect.Trials
	until := now.Add(time.Second)
	trial := func(endpoint string, digests ...suspect.Digest) suspect.Trial {
		return suspect.Trial{Endpoint: endpoint, Digests: digests}
	}
	require.Equal(t, suspect.TrialGranted, trials.Begin(trial("e1", 1, 2), until, now))
	require.Equal(t, suspect.TrialEndpointBusy, trials.Begin(trial("e1", 3), until, now))
	require.Equal(t, suspect.TrialDigestBusy, trials.Begin(trial("e2", 2), until, now))
	require.Equal(t, suspect.TrialGranted, trials.Begin(trial("e2", 3), until, now))
	trials.End(trial("e1", 1, 2))
	require.Equal(t, suspect.TrialGranted, trials.Begin(trial("e1", 2), until, now))
	require.Equal(t, suspect.TrialGranted, trials.Begin(trial("e2", 4), until, until), "a trial ends with its time")
}

// TestEvidenceIsForgotten guards against nodes that store and exchange evidence that no
// longer counts.
func TestEvidenceIsForgotten(t *testing.T) {
	r := suspect.NewRegistry()
	crashUnder(r, "e1", suspect.Victim{Request: content(1)}, now)
	crashUnder(r, "e1", suspect.Victim{Request: content(2), Alone: true}, now)
	r.Answered(content(1), now)
	crashUnder(r, "e2", suspect.Victim{Request: content(3)}, now.Add(5*time.Hour))
	marks, _ := r.AllSince(0, now.Add(5*time.Hour))
	require.Len(t, marks, 1)
	require.Equal(t, 1, r.Len())
}
