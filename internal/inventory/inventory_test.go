package inventory

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestConcurrentChanges checks that no change is lost when several writers
// change the inventory at once.
func TestConcurrentChanges(t *testing.T) {
	const writers, changes = 4, 500
	i := New()
	var all sync.WaitGroup
	for writer := range writers {
		all.Go(func() {
			for n := range changes {
				i.Change([]*Endpoint{{ID: fmt.Sprintf("%d-%d", writer, n), Service: "s"}}, nil)
			}
		})
	}
	all.Wait()
	require.Equal(t, writers*changes, i.Current().Len())
}

// TestReplaceUnchanged checks that an endpoint that was published again in the
// meantime stays, and that others are removed or replaced.
func TestReplaceUnchanged(t *testing.T) {
	i := New()
	a, b := &Endpoint{ID: "a", Service: "s"}, &Endpoint{ID: "b", Service: "s"}
	i.Replace([]*Endpoint{a, b})
	i.Change([]*Endpoint{{ID: "a", Service: "s"}}, nil)
	version := i.Current().Version
	removals := []Replacement{{Before: a}, {Before: b}}
	require.Equal(t, []string{"b"}, i.ReplaceUnchanged(removals))
	require.NotNil(t, i.Current().Endpoint("a"))
	require.Nil(t, i.Current().Endpoint("b"))
	require.Equal(t, version+1, i.Current().Version)
	require.Empty(t, i.ReplaceUnchanged(removals))
	require.Equal(t, version+1, i.Current().Version, "no change was published as one")
	before, after := i.Current().Endpoint("a"), &Endpoint{ID: "a", Service: "s", Slots: 2}
	require.Equal(t, []string{"a"}, i.ReplaceUnchanged([]Replacement{{Before: before, After: after}}))
	require.Equal(t, after, i.Current().Endpoint("a"))
}

// TestAddressTakenOver checks that a service does not list an endpoint whose address one that
// started later has, of this service or another one, until that one's entry is gone. Entries
// without a start time are all listed.
func TestAddressTakenOver(t *testing.T) {
	i := New()
	listed := func(service string) (ids []string) {
		for _, e := range i.Current().Service(service) {
			ids = append(ids, e.ID)
		}
		return ids
	}
	i.Replace([]*Endpoint{
		{ID: "old", Service: "s", Address: "a:1", StartedAtMS: 1},
		{ID: "other", Service: "s", Address: "b:1", StartedAtMS: 1},
		{ID: "x", Service: "s", Address: "c:1"},
		{ID: "y", Service: "s", Address: "c:1"},
	})
	require.Equal(t, []string{"old", "other", "x", "y"}, listed("s"))
	i.Change([]*Endpoint{{ID: "new", Service: "s", Address: "a:1", StartedAtMS: 2}}, nil)
	i.Change([]*Endpoint{{ID: "foreign", Service: "t", Address: "b:1", StartedAtMS: 2}}, nil)
	require.Equal(t, []string{"new", "x", "y"}, listed("s"))
	require.Equal(t, []string{"foreign"}, listed("t"))
	require.NotNil(t, i.Current().Endpoint("old"), "its entry is known until it is removed")
	i.Change(nil, []string{"new"})
	require.Equal(t, []string{"old", "x", "y"}, listed("s"))
}
