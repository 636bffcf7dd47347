package plain

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCallToVanishingEndpoint guards against a call that its endpoint received and that counts as not
// sent, since net/http made it again and found no connection.
func TestCallToVanishingEndpoint(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodDelete, http.MethodOptions, http.MethodTrace} {
		t.Run(method, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			arrived := make(chan string, 16)
			go func() {
				defer func() { _ = listener.Close() }()
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for len(arrived) < 2 {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					arrived <- request.Method
					if len(arrived) < 2 {
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: r1\r\nContent-Length: 0\r\n\r\n", HeaderRequestID)
					}
				}
				_ = listener.Close()
			}()
			caller := NewCaller(DefaultSettings())
			address := listener.Addr().String()
			_, err = caller.Call(t.Context(), address, Request{ID: "r1", Method: method, Path: "/"})
			require.NoError(t, err)
			_, err = caller.Call(t.Context(), address, Request{ID: "r2", Method: method, Path: "/"})
			require.Len(t, arrived, 2)
			require.ErrorIs(t, err, ErrUnknown)
			caller.Close()
		})
	}
}
