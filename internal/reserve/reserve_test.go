package reserve

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestLeft checks what a request that can use three endpoints leaves to others.
func TestLeft(t *testing.T) {
	flexible := Request{Priority: 3, Usable: 3}
	free := func(x, y, z float64) (room []Room) {
		for i, n := range []float64{x, y, z} {
			if n >= 1 {
				room = append(room, Room{Name: string(rune('x' + i)), Free: n})
			}
		}
		return room
	}
	claim := func(priority int, age time.Duration, endpoints ...string) Claim {
		return Claim{Priority: priority, Endpoints: endpoints, At: start.Add(-age)}
	}
	cases := []struct {
		name   string
		room   []Room
		claims []Claim
		want   []string
	}{
		{"no claims", free(1, 1, 1), nil, nil},
		{"goes elsewhere for a more urgent one", free(1, 0, 1), []Claim{claim(0, 0, "z")}, []string{"z"}},
		{"goes elsewhere for an equally urgent one", free(1, 0, 1), []Claim{claim(3, 0, "z")}, []string{"z"}},
		{"not for a less urgent one", free(1, 0, 1), []Claim{claim(4, 0, "z")}, nil},
		{"not for one that can use as many", free(1, 0, 1), []Claim{claim(0, 0, "x", "y", "z")}, nil},
		{"leaves the last slot to a more urgent one", free(0, 0, 1), []Claim{claim(0, 0, "z")}, []string{"z"}},
		{"takes a slot that is left over", free(0, 0, 2), []Claim{claim(0, 0, "z")}, nil},
		{"leaves a slot for each", free(0, 0, 2), []Claim{claim(0, 0, "z"), claim(1, 0, "z")}, []string{"z"}},
		{"takes the last slot before an equally urgent one", free(0, 0, 1), []Claim{claim(3, 0, "z")}, nil},
		{"goes elsewhere a second later", free(1, 0, 1), []Claim{claim(0, time.Second, "z")}, []string{"z"}},
		{"takes the last slot a second later", free(0, 0, 1), []Claim{claim(0, time.Second, "z")}, nil},
		{"forgets", free(1, 0, 1), []Claim{claim(0, 3*time.Second, "z")}, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.want, Left(flexible, tc.room, tc.claims, start))
		})
	}
}

// TestBook guards against claims that outlive their request, and that grow without bound.
func TestBook(t *testing.T) {
	b := NewBook()
	require.Empty(t, b.Claims("s", start))
	b.Claim("s", "r", Claim{Endpoints: make([]string, MaxEndpoints+1), At: start})
	require.Empty(t, b.Claims("s", start), "a request that has many endpoints claims none")
	b.Claim("s", "r", Claim{Endpoints: []string{"z"}, At: start})
	require.Empty(t, b.Claims("other", start))
	room, req := []Room{{Name: "z", Free: 1}}, Request{Priority: 1, Usable: 2}
	require.Equal(t, []string{"z"}, Left(req, room, b.Claims("s", start), start))
	b.Release("s", "r", start)
	require.Empty(t, Left(req, room, b.Claims("s", start), start))
	for i := range 3 * maxClaims {
		b.Claim("s", fmt.Sprint(i), Claim{Endpoints: []string{"z"}, At: start})
	}
	require.Len(t, b.Claims("s", start), maxClaims)
	urgent := Claim{Priority: -1, Endpoints: []string{"u"}, At: start}
	b.Claim("s", "urgent", urgent)
	require.Len(t, b.Claims("s", start), maxClaims)
	require.Contains(t, b.Claims("s", start), urgent, "a more urgent claim was dropped")
	require.Empty(t, b.Claims("s", start.Add(time.Minute)))
	require.Empty(t, b.services)
}
