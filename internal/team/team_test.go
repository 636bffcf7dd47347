package team

import (
	"encoding/json"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

func define(name string, keys ...string) Definition {
	return Definition{Team: Team{Name: name}, Keys: keys}
}

func credential(key string) Credential {
	return Credential{Digest: DigestOf(key), Presented: true}
}

// TestDirectory guards against requests that run for another team than their key's.
func TestDirectory(t *testing.T) {
	d, err := NewDirectory([]Definition{define("a", "k1", "k2"), define("b", "k3"), define("c")})
	require.NoError(t, err)
	require.Equal(t, 3, d.Len())
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
		require.Equal(t, want, d.Find(credential(key)).Name)
	}
	require.Nil(t, d.Find(credential("k4")))
	require.Nil(t, d.Find(credential("")))
	require.Nil(t, d.Find(Credential{}))
	require.Equal(t, "c", d.Team("c").Name)
	var none *Directory
	require.Nil(t, none.Find(credential("k1")))
	require.Zero(t, none.Len())
}

// TestInvalidDirectory guards against a configuration that is accepted though it says two
// things, and against keys in error messages.
func TestInvalidDirectory(t *testing.T) {
	negative, infinite := define("a", "secret"), define("a", "secret")
	negative.PerSecond = -1
	infinite.Burst = math.Inf(1)
	for want, definitions := range map[error][]Definition{
		ErrNoName:        {define("", "secret")},
		ErrDuplicateName: {define("a", "secret"), define("a", "other")},
		ErrEmptyKey:      {define("a", "secret", "")},
		ErrDuplicateKey:  {define("a", "secret"), define("b", "secret")},
		ErrNumber:        {negative},
	} {
		_, err := NewDirectory(definitions)
		require.ErrorIs(t, err, want)
		require.NotContains(t, err.Error(), "secret")
	}
	_, err := NewDirectory([]Definition{infinite})
	require.ErrorIs(t, err, ErrNumber)
}

// TestCost checks the cost of a request in each unit.
func TestCost(t *testing.T) {
	requests := &Team{Unit: Requests}
	tokens := &Team{Unit: Tokens, PlainTokens: 200}
	require.EqualValues(t, 1, requests.Cost(1460, 80, true))
	require.EqualValues(t, 1540, tokens.Cost(1460, 80, true))
	require.EqualValues(t, 200, tokens.Cost(0, 0, false))
	require.EqualValues(t, 80, tokens.Cost(-5, 80, true))
}

// TestRank checks that a team's priority replaces the route's.
func TestRank(t *testing.T) {
	var none *Team
	require.Equal(t, 2, none.Rank(2))
	require.Equal(t, 2, (&Team{Priority: 1}).Rank(2))
	require.Equal(t, 1, (&Team{Priority: 1, HasPriority: true}).Rank(2))
	require.Equal(t, 0, (&Team{HasPriority: true}).Rank(2))
}

// TestDigestText checks that a digest survives its encoding between nodes.
func TestDigestText(t *testing.T) {
	sent := credential("k")
	text, err := json.Marshal(sent)
	require.NoError(t, err)
	var received Credential
	require.NoError(t, json.Unmarshal(text, &received))
	require.Equal(t, sent, received)
	require.Error(t, received.Digest.UnmarshalText([]byte("abc")))
}
