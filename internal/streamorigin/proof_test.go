package streamorigin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestProofNeedsWatch guards against a proof of the store that does not reach up to what the node
// has seen itself: versions can have come and gone between.
func TestProofNeedsWatch(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	serving := map[Origin]bool{{"s", "1"}: true}
	account := Account{ProvenMS: time.Hour.Milliseconds()}
	account.Include(serving)

	h := NewHistory()
	require.False(t, h.Extend(account, at(0), at(0)), "never watched")
	h.Observe(serving, true, at(time.Second))
	require.False(t, h.Extend(account, at(time.Second/2), at(2*time.Second)), "watched only since after the read")
	require.Less(t, h.Known(at(2*time.Second)), MaxLifetime)
	require.True(t, h.Extend(account, at(3*time.Second/2), at(2*time.Second)))
	require.GreaterOrEqual(t, h.Known(at(2*time.Second)), time.Hour)

	h.Observe(serving, true, at(2*time.Second+maxGap+2))
	require.Less(t, h.Known(at(3*time.Second+maxGap)), MaxLifetime, "a gap in the watch ends the proof")
}

// TestProofOfOtherNodes checks that a node that has just started takes over what the store has
// proved to another one.
func TestProofOfOtherNodes(t *testing.T) {
	now := time.Unix(1000, 0)
	serving := map[Origin]bool{{"s", "1"}: true}
	proved, young := NewHistory(), NewHistory()
	for _, h := range []*History{proved, young} {
		h.Observe(serving, true, now)
	}
	now = now.Add(time.Second)
	require.True(t, proved.Extend(Account{ProvenMS: time.Hour.Milliseconds()}, now, now))
	young.Merge(proved.Account(now), now)
	versions, known := young.Seen("s", MaxLifetime, now)
	require.Equal(t, []string{"1"}, versions)
	require.GreaterOrEqual(t, known, time.Hour)
}

// TestStoredVersionsDoNotAge guards against a version that is forgotten since time passed while no
// node ran, though a stream can have begun at it: neither the store's clock nor a VM's tells how
// long that was.
func TestStoredVersionsDoNotAge(t *testing.T) {
	now := time.Unix(1000, 0)
	h := NewHistory()
	h.Observe(map[Origin]bool{{"s", "2"}: true}, true, now)
	now = now.Add(time.Second)
	account := Account{ProvenMS: time.Hour.Milliseconds(), AgesMS: map[string]map[string]int64{"s": {"1": (MaxLifetime - time.Second).Milliseconds()}}}
	require.True(t, h.Extend(account, now, now))
	versions, _ := h.Seen("s", MaxLifetime, now)
	require.Equal(t, []string{"1", "2"}, versions)
}

// TestReplicasWithoutWatch guards against streams whose origins have no replicas since only the
// store shows that one version has served: until nodes have watched for long enough, the origins
// are what is known if the store can't be read at the next start.
func TestReplicasWithoutWatch(t *testing.T) {
	now := time.Unix(1000, 0)
	h := NewHistory()
	h.Observe(map[Origin]bool{{"s", "1"}: true}, true, now)
	now = now.Add(time.Second)
	require.True(t, h.Extend(Account{ProvenMS: time.Hour.Milliseconds()}, now, now))
	require.False(t, h.OnlyVersion("s", now))
	h.Merge(Account{ObservedMS: time.Hour.Milliseconds()}, now)
	require.True(t, h.OnlyVersion("s", now))
}

// TestMissing names what is missing to know an origin, for the log.
func TestMissing(t *testing.T) {
	const lifetime = time.Minute
	for want, e := range map[string]Evidence{
		"":                  {Versions: []string{"1"}, Observed: lifetime},
		MissingVersion:      {Observed: lifetime},
		MissingUnique:       {Versions: []string{"1", "2"}, Observed: lifetime},
		MissingTime:         {Versions: []string{"1"}, Observed: lifetime - 1},
		MissingConfirmation: {Versions: []string{"1"}, Observed: lifetime, Unconfirmed: true},
	} {
		require.Equal(t, want, e.Missing(lifetime))
		require.Equal(t, want == "", Decide(e, lifetime).Source == SourceOnlyVersion)
	}
}
