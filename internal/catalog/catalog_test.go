package catalog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRouteHost checks that a route is found by the host of a request with and
// without a port, also if the host is an IPv6 address.
func TestRouteHost(t *testing.T) {
	c := New(1, []*Route{
		{Name: "name", Host: "h.example", Prefix: "/"},
		{Name: "ipv6", Host: "[::1]", Prefix: "/"},
		{Name: "ipv4", Host: "127.0.0.1", Prefix: "/"},
	}, nil, Limits{})
	cases := map[string]string{
		"h.example": "name", "H.Example:80": "name", "h.example.other": "",
		"[::1]": "ipv6", "[::1]:80": "ipv6", "::1": "ipv6", "[::2]:80": "",
		"127.0.0.1": "ipv4", "127.0.0.1:8080": "ipv4", "": "",
	}
	for host, want := range cases {
		got := ""
		if route := c.Route(host, "/a"); route != nil {
			got = route.Name
		}
		require.Equal(t, want, got, host)
	}
}
