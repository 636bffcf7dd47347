//go:build review

package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// consumer is one consumer with a kept connection. It repeats nothing.
type consumer struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// answer is what a consumer got. status is 0 without an answer.
type answer struct {
	status    int
	id        string
	signature string
	body      []byte
	err       error
}

// do sends a request and reads its answer.
func (c *consumer) do(method, target, id string, headers []string, body []byte, limit time.Duration) answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	a := c.exchange(method, target, id, headers, body, limit)
	if a.err != nil {
		c.close()
	}
	return a
}

func (c *consumer) exchange(method, target, id string, headers []string, body []byte, limit time.Duration) answer {
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nChestnutgauge-Request-Id: %s\r\nChestnutgauge-Deadline-Ms: %d\r\n", method, target, id, limit.Milliseconds())
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	for _, header := range headers {
		head += header + "\r\n"
	}
	if _, err := c.conn.Write(append([]byte(head+"\r\n"), body...)); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	got, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, id: resp.Header.Get("Chestnutgauge-Request-Id"), signature: resp.Header.Get("Chestnutgauge-Response-Signature"), body: got, err: err}
	if resp.Close || strings.EqualFold(resp.Header.Get("Connection"), "close") {
		c.close()
	}
	return a
}

func (c *consumer) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
