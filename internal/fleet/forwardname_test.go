package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/relay"
)

// nodeCall is a call that a scriptedNode got.
type nodeCall struct {
	// connection is the number of its connection, onIt that of the call on it, from 1.
	connection, onIt int
	// name is the name that the call has, empty if it has none.
	name string
}

// scriptedNode answers each forwarded request with the bytes that respond returns.
func scriptedNode(t *testing.T, respond func(nodeCall) string) (*Forwarding, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var connections atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveScripted(conn, int(connections.Add(1)), respond)
		}
	}()
	address := listener.Addr().String()
	d := NewForwarding()
	d.Direct = deadLinks{}
	d.Others = func() []string { return []string{address} }
	d.Inventory = inventory.New()
	d.HTTP, d.ForwardHTTP, d.Log = NewHTTP(), NewForwardHTTP(nil), discard
	return d, address
}

func serveScripted(conn net.Conn, number int, respond func(nodeCall) string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for onIt := 1; ; onIt++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		var described struct {
			Call string `json:"call"`
		}
		_ = json.Unmarshal([]byte(request.Header.Get("Chestnut-Forward")), &described)
		if _, err := io.WriteString(conn, respond(nodeCall{number, onIt, described.Call})); err != nil {
			return
		}
	}
}

// nodeResponse returns the response of a node to the call with a name, as an earlier version writes it
// if that is empty. header holds further fields.
func nodeResponse(name, header, body string, ended forwardEnd) string {
	text, _ := json.Marshal(ended)
	end := string(text)
	if name != "" {
		header += "Chestnut-Forward-Call: " + name + "\r\n"
		end = strings.Replace(end, "{", fmt.Sprintf("{%q:%q,", "call", name), 1)
	}
	if body != "" {
		body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	return "HTTP/1.1 200 OK\r\nTrailer: Chestnut-Forward-End\r\nTransfer-Encoding: chunked\r\n" + header + "\r\n" +
		body + "0\r\nChestnut-Forward-End: " + end + "\r\n\r\n"
}

// nodeRefusal returns the response with which a node says that the call with a name was not run.
func nodeRefusal(name string) string {
	return nodeResponse(name, "", "", forwardEnd{Reason: relay.ReasonFull, Run: outcome.NotRun})
}

// nodeReply returns the response with which a node passes an endpoint's on.
func nodeReply(name, body string) string {
	return nodeResponse(name, "Signature: s\r\nChestnut-Forward-Reply: {\"status\":200,\"length\":-1}\r\n", body, forwardEnd{Runs: 1})
}

// forwardOnce has the node serve a request, and returns the body of its response.
func forwardOnce(t *testing.T, d *Forwarding, node string) (string, error) {
	req, attempt := forwardedCall()
	reply, err := d.forward(t.Context(), node, req, attempt)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(reply.Body)
	require.NoError(t, reply.Body.Close())
	return string(body), err
}

// requireSent checks that a request may have run.
func requireSent(t *testing.T, err error, sent bool) {
	var failed *relay.SendError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, sent, failed.Sent, "%v", err)
	if sent {
		require.Nil(t, failed.Refusal)
	}
}

// otherNames are names that no call has: none, and that of another one.
func otherNames(t *testing.T, check func(t *testing.T, other func(nodeCall) string)) {
	for name, other := range map[string]func(nodeCall) string{
		"no name":      func(nodeCall) string { return "" },
		"another name": func(c nodeCall) string { return c.name + "0" },
	} {
		t.Run(name, func(t *testing.T) { check(t, other) })
	}
}

// TestRefusalOfAnotherForwardedCall guards against a request that counts as not run since the node's
// refusal of another one came on its connection.
func TestRefusalOfAnotherForwardedCall(t *testing.T) {
	otherNames(t, func(t *testing.T, other func(nodeCall) string) {
		d, node := scriptedNode(t, func(c nodeCall) string {
			if c.onIt == 1 {
				return nodeReply(c.name, "first")
			}
			return nodeRefusal(other(c))
		})
		body, err := forwardOnce(t, d, node)
		require.NoError(t, err)
		require.Equal(t, "first", body)
		_, err = forwardOnce(t, d, node)
		requireSent(t, err, true)
	})
}

// TestReplyOfAnotherForwardedCall guards against a caller that gets the response to another request,
// which a node sent on the same connection.
func TestReplyOfAnotherForwardedCall(t *testing.T) {
	otherNames(t, func(t *testing.T, other func(nodeCall) string) {
		d, node := scriptedNode(t, func(c nodeCall) string {
			if c.onIt == 1 {
				return nodeReply(c.name, "first")
			}
			return nodeReply(other(c), "other")
		})
		_, err := forwardOnce(t, d, node)
		require.NoError(t, err)
		_, err = forwardOnce(t, d, node)
		requireSent(t, err, true)
	})
}

// TestEndOfAnotherForwardedCall guards against the end of another call that ends a response, so that it
// counts as complete or its request as not run.
func TestEndOfAnotherForwardedCall(t *testing.T) {
	otherNames(t, func(t *testing.T, other func(nodeCall) string) {
		for _, respond := range []func(name string) string{nodeRefusal, func(name string) string { return nodeReply(name, "body") }} {
			d, node := scriptedNode(t, func(c nodeCall) string {
				text := respond(c.name)
				if other(c) == "" {
					return strings.Replace(text, fmt.Sprintf("%q:%q,", "call", c.name), "", 1)
				}
				return strings.Replace(text, fmt.Sprintf("%q", c.name), fmt.Sprintf("%q", other(c)), 1)
			})
			body, err := forwardOnce(t, d, node)
			require.Error(t, err)
			if body == "" {
				requireSent(t, err, true)
			}
		}
	})
}

// TestNodeOfEarlierVersionServes guards against requests that nodes of an earlier version, which name
// no call, can't serve or refuse during an upgrade. Only the first response on a connection is taken for
// that of its request, and such a connection is not used again.
func TestNodeOfEarlierVersionServes(t *testing.T) {
	for _, refuses := range []bool{true, false} {
		d, node := scriptedNode(t, func(c nodeCall) string {
			if c.onIt > 1 {
				return nodeRefusal("")
			}
			if refuses {
				return nodeRefusal("")
			}
			return nodeReply("", fmt.Sprint("connection ", c.connection))
		})
		for i := range 20 {
			body, err := forwardOnce(t, d, node)
			if refuses {
				requireSent(t, err, false)
				continue
			}
			require.NoError(t, err)
			require.Equal(t, fmt.Sprint("connection ", i+1), body)
		}
	}
}

// TestCallOfEarlierVersionIsServed guards against calls of nodes of an earlier version, which have no
// name, that are answered otherwise than before.
func TestCallOfEarlierVersionIsServed(t *testing.T) {
	_, node := forwarding(t, func(_ context.Context, _ *relay.Request, answer relay.Answer) (int, *relay.Failure) {
		answer.Begin(&relay.Reply{Status: http.StatusCreated, Signed: true, EventStream: true, Header: http.Header{"Chestnut-Forward-Call": {"x"}}}, 4)
		_ = answer.Write([]byte("done"))
		return 1, nil
	}, false)
	call, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+node.Address+forwardPath, nil)
	require.NoError(t, err)
	call.Header.Set("Chestnut-Forward", `{"id":"r1","method":"POST","target":"/a","path":"/a","left_ms":1000,"service":"s","max_runs":1}`)
	resp, err := http.DefaultClient.Do(call)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "done", string(body))
	require.Empty(t, resp.Header.Values("Chestnut-Forward-Call"))
	require.JSONEq(t, `{"status":201,"length":4}`, resp.Header.Get("Chestnut-Forward-Reply"))
	require.JSONEq(t, `{"runs":1}`, resp.Trailer.Get("Chestnut-Forward-End"))
}

// TestForwardedCallsUseConnectionsAgain guards against a connection for each call of nodes of this
// version.
func TestForwardedCallsUseConnectionsAgain(t *testing.T) {
	var connections atomic.Int64
	d, node := scriptedNode(t, func(c nodeCall) string {
		connections.Store(int64(c.connection))
		return nodeReply(c.name, "body")
	})
	for range 20 {
		_, err := forwardOnce(t, d, node)
		require.NoError(t, err)
		time.Sleep(time.Millisecond)
	}
	require.Equal(t, int64(1), connections.Load())
}
