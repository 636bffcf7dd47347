package streamorigin

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// start is when tests begin.
var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// TestRegistryForgets checks that streams are known for their lifetime, that a new record
// prolongs it, and that ids without a bound are not kept.
func TestRegistryForgets(t *testing.T) {
	r := NewRegistry()
	origin := Origin{Service: "s", Version: "1"}
	r.PutOwn("a", origin, 10*time.Second, at(0))
	r.PutOwn("b", origin, 10*time.Second, at(0))
	r.PutOwn("b", origin, 10*time.Second, at(8*time.Second))
	r.PutOwn(fmt.Sprintf("%0*d", MaxStreamID+1, 0), origin, time.Minute, at(0))
	got, ok := r.Get("a", at(9*time.Second))
	require.True(t, ok)
	require.Equal(t, origin, got)
	_, ok = r.Get("a", at(10*time.Second))
	require.False(t, ok)
	_, ok = r.Get("b", at(17*time.Second))
	require.True(t, ok)
	r.PutOwn("c", origin, time.Second, at(19*time.Second))
	require.Equal(t, 1, r.Len(), "expired ones are dropped")
}

// TestRegistryIsBounded guards against a registry that grows with the rate of streams.
func TestRegistryIsBounded(t *testing.T) {
	r := NewRegistry()
	for i := range MaxRecords + 1000 {
		r.PutOwn(fmt.Sprint(i), Origin{}, time.Minute, at(0))
	}
	require.Equal(t, MaxRecords, r.Len())
	_, ok := r.Get(fmt.Sprint(MaxRecords+999), at(0))
	require.True(t, ok, "the newest one is known")
}

// TestDecide has one row for each kind of evidence.
func TestDecide(t *testing.T) {
	const lifetime = 10 * time.Second
	origin := Origin{Service: "s", Version: "1"}
	tests := []struct {
		name string
		e    Evidence
		want Decision
	}{
		{"recorded", Evidence{Found: true, Origin: origin, Service: "x", Versions: []string{"1", "2"}}, Decision{origin, SourceRecord}},
		{"only version", Evidence{Service: "s", Versions: []string{"1"}, Observed: lifetime}, Decision{origin, SourceOnlyVersion}},
		{"not observed for long enough", Evidence{Service: "s", Versions: []string{"1"}, Observed: lifetime - 1}, Decision{Source: SourceUnknown}},
		{"two versions", Evidence{Service: "s", Versions: []string{"1", "2"}, Observed: lifetime}, Decision{Source: SourceUnknown}},
		{"no version", Evidence{Service: "s", Observed: lifetime}, Decision{Source: SourceUnknown}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.want, Decide(tc.e, lifetime))
		})
	}
}

// TestHistoryAfterAGap guards against a version that came and went while the list of
// endpoints was out of date: the history begins again.
func TestHistoryAfterAGap(t *testing.T) {
	h := NewHistory()
	serving := map[Origin]bool{{Service: "s", Version: "1"}: true}
	h.Observe(serving, true, at(0))
	h.Observe(serving, true, at(time.Second))
	_, observed := h.Seen("s", time.Minute, at(2*time.Second))
	require.Equal(t, 2*time.Second, observed)
	h.Observe(serving, false, at(5*time.Second))
	_, observed = h.Seen("s", time.Minute, at(5*time.Second))
	require.Zero(t, observed, "out of date")
	h.Observe(serving, true, at(6*time.Second))
	versions, observed := h.Seen("s", time.Minute, at(7*time.Second))
	require.Equal(t, time.Second, observed)
	require.Equal(t, []string{"1"}, versions)
}

// TestHistoryOfOthers checks that a node that has just started takes over what others have
// seen, including versions that have gone, but not while it knows nothing itself.
func TestHistoryOfOthers(t *testing.T) {
	old, young := NewHistory(), NewHistory()
	old.Observe(map[Origin]bool{{Service: "s", Version: "1"}: true}, true, at(0))
	for second := range 20 {
		old.Observe(map[Origin]bool{{Service: "s", Version: "2"}: true}, true, at(time.Duration(second)*time.Second))
	}
	young.Merge(old.Account(at(19*time.Second)), at(19*time.Second))
	_, observed := young.Seen("s", time.Minute, at(19*time.Second))
	require.Zero(t, observed)
	young.Observe(map[Origin]bool{{Service: "s", Version: "2"}: true}, true, at(19*time.Second))
	young.Merge(old.Account(at(20*time.Second)), at(20*time.Second))
	versions, observed := young.Seen("s", time.Minute, at(20*time.Second))
	require.Equal(t, []string{"1", "2"}, versions)
	require.GreaterOrEqual(t, observed, 19*time.Second)
	versions, _ = young.Seen("s", 10*time.Second, at(25*time.Second))
	require.Equal(t, []string{"2"}, versions)
}

// TestOnlyVersionIsRight checks over random releases, outages and restarts of nodes, which
// tell each other their histories, that a node never takes a version for the only one
// that can have begun a stream if another one can.
func TestOnlyVersionIsRight(t *testing.T) {
	const (
		nodes, steps = 3, 120
		lifetime     = 10 * time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		histories := make([]*History, nodes)
		for i := range histories {
			histories[i] = NewHistory()
		}
		serving, since := "0", at(0)
		lastServed := map[string]time.Time{}
		for step := range steps {
			now := at(time.Duration(step) * 500 * time.Millisecond)
			// No version is listed for less than maxGap.
			if now.Sub(since) > maxGap && rapid.IntRange(0, 9).Draw(t, "release") == 0 {
				serving, since = fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "version")), now
			}
			lastServed[serving] = now
			for i, h := range histories {
				switch rapid.IntRange(0, 19).Draw(t, "node") {
				case 0:
					histories[i] = NewHistory()
				case 1, 2, 3, 4, 5:
					// The node sees nothing of this step, or only what it knew.
					h.Observe(nil, false, now)
				case 6:
					h.Merge(histories[(i+1)%nodes].Account(now), now)
				default:
					h.Observe(map[Origin]bool{{Service: "s", Version: serving}: true}, true, now)
				}
			}
			for _, h := range histories {
				e := Evidence{Service: "s"}
				e.Versions, e.Observed = h.Seen("s", lifetime, now)
				decision := Decide(e, lifetime)
				if decision.Source == SourceUnknown {
					continue
				}
				for version, served := range lastServed {
					if version != decision.Origin.Version && now.Sub(served) < lifetime && now.Sub(served) > maxGap {
						t.Fatalf("at step %d, version %s served %s ago, but %s is taken for the only one", step, version, now.Sub(served), decision.Origin.Version)
					}
				}
			}
		}
	})
}
