package ctl

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestExplain guards against a table that leaves out what decides, and against an error of the
// node that is taken for an explanation.
func TestExplain(t *testing.T) {
	const body = `{"route":"r","service":"s","verdict":"found","decided_by":"node","queued":3,"candidates":[` +
		`{"endpoint":"a","data_centre":"x","share":1,"cost_ms":41.5,"parts":[{"name":"Distance","cost_ms":30}],"in_flight":2,"other_load":1.5,"slots":6,"report_age_ms":120},` +
		`{"endpoint":"b","data_centre":"y","excluded":"full","report_age_ms":-1}]}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("path") != "/a" || r.URL.Query().Get("max_tokens") != "80" {
			http.Error(w, "no route", http.StatusNotFound)
			return
		}
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	run := func(args ...string) (string, error) {
		root := Command()
		var out bytes.Buffer
		root.SetOut(&out)
		root.SetArgs(append([]string{"explain", "--node", strings.TrimPrefix(server.URL, "http://")}, args...))
		err := root.Execute()
		return out.String(), err
	}
	table, err := run("--path", "/a", "--max-tokens", "80")
	require.NoError(t, err)
	for _, text := range []string{"found", "Distance=30.0", "41.5", "120", "full"} {
		require.Contains(t, table, text)
	}
	text, err := run("--path", "/a", "--max-tokens", "80", "-o", "json")
	require.NoError(t, err)
	require.JSONEq(t, body, text)
	_, err = run("--path", "/none")
	require.ErrorContains(t, err, "no route")
}
