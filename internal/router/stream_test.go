package router_test

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/standin"
	"chestnutgauge/internal/testsystem"
)

// TestWholeStreams checks that a streamed response is the engine's, byte for
// byte, or ends with an error and without [DONE].
func TestWholeStreams(t *testing.T) {
	engines := []string{"e1", "e2", "e3", "e4"}
	all := func(kind standin.FaultKind) func(*testsystem.System, *testsystem.RouterNode) {
		return onEndpoints(kind, engines...)
	}
	cases := []struct {
		name        string
		fault       standin.Fault
		during      func(*testsystem.System, *testsystem.RouterNode)
		interrupted bool
	}{
		{name: "no fault"},
		{name: "crossed", fault: standin.Fault{Kind: standin.FaultForeignChunk}},
		{name: "late", fault: standin.Fault{Kind: standin.FaultResponseDelay, Milliseconds: 3000}},
		{name: "cut", fault: standin.Fault{Kind: standin.FaultTruncate}},
		{name: "doubled", fault: standin.Fault{Kind: standin.FaultDuplicate}},
		{name: "silent", during: all(standin.FaultStall)},
		{name: "silent twice", during: func(s *testsystem.System, r *testsystem.RouterNode) {
			all(standin.FaultStall)(s, r)
			time.AfterFunc(2200*time.Millisecond, func() { all(standin.FaultStall)(s, r) })
		}},
		{name: "engine restarts", during: all(standin.FaultRestart), interrupted: true},
		{name: "engine stops for good", during: all(standin.FaultStop), interrupted: true},
	}
	want := standin.AnswerText("assistant", "", prompt, bookingTokens)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				system, a, _ := newBookingSystem(t)
				if c.fault.Kind != "" {
					require.NoError(t, system.StandIn.SetFault(c.fault))
				}
				if c.during != nil {
					time.AfterFunc(500*time.Millisecond, func() { c.during(system, a) })
				}
				answer := callerReply{a.Chat(t.Context(), chatBody("assistant", true), nil)}
				text, done, _ := parseStream(answer.Body.String())
				require.Equal(t, !c.interrupted, done, answer.Body.String())
				if !c.interrupted {
					require.Equal(t, want, text)
					return
				}
				require.True(t, strings.HasPrefix(want, text))
				require.Contains(t, answer.Body.String(), `event: error`)
				require.Contains(t, answer.Body.String(), `"run":"ran"`)
			})
		})
	}
}

// TestResumeAtOtherRouter checks that a caller whose router crashed gets the
// rest of the response from the other router, and that no other organisation
// gets it.
func TestResumeAtOtherRouter(t *testing.T) {
	cases := []struct {
		name         string
		organisation string
		model        string
		code         int
	}{
		{name: "same organisation", organisation: "kowhai", model: "assistant", code: 200},
		{name: "other organisation", organisation: "agency", model: "assistant", code: 400},
		{name: "no organisation", model: "assistant", code: 400},
	}
	want := standin.AnswerText("assistant", "", prompt, bookingTokens)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, a, b := newBookingSystem(t)
				headers := map[string]string{"X-Organisation": "kowhai"}
				first := a.Chat(t.Context(), chatBody("assistant", true), headers).Body.String()
				_, _, lastID := parseStream(first)
				// The caller received 40 tokens before its router crashed.
				resumeID := lastID[:strings.LastIndex(lastID, "/")+1] + strconv.Itoa(40)
				before := strings.Join(standin.Answer("assistant", "", prompt, bookingTokens)[:40], "")
				rest := callerReply{b.Chat(t.Context(), chatBody(c.model, true), map[string]string{"X-Organisation": c.organisation, "Last-Event-ID": resumeID})}
				require.Equal(t, c.code, rest.Code, rest.Body.String())
				text, done, _ := parseStream(rest.Body.String())
				require.Equal(t, c.code == 200, done)
				if done {
					require.Equal(t, want, before+text)
				} else {
					require.Empty(t, text)
				}
			})
		})
	}
}

// TestHangUp checks that a request whose caller hangs up is cancelled at the
// engine, unless it is non-idempotent.
func TestHangUp(t *testing.T) {
	for model, outcome := range map[string]string{"assistant": "cancelled", "booking": "ok"} {
		t.Run(model, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				system, a, _ := newBookingSystem(t)
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				defer cancel()
				a.Chat(ctx, chatBody(model, true), map[string]string{"Idempotency-Key": "key"})
				time.Sleep(5 * time.Second)
				require.Equal(t, 1, runs(system, "key"))
				require.Equal(t, outcome, lastRunEnd(system, "key"))
			})
		})
	}
}

func lastRunEnd(system *testsystem.System, key string) string {
	end := ""
	for _, entry := range system.StandIn.Journal.Entries() {
		if entry.Kind == standin.EntryRunEnd && entry.IdempotencyKey == key {
			end = entry.Outcome
		}
	}
	return end
}
