//go:build review

package standin3

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a consumer has got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

// send sends a request as given on a new connection and reads the answer. Header lines end with CRLF.
func send(front, method, target, host, id, header, body string, limit time.Duration) answer {
	begun := time.Now()
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(begun.Add(limit))
	length := ""
	if body != "" || method == "POST" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nChestnutgauge-Request-Id: %s\r\nChestnutgauge-Deadline-Ms: %d\r\n%s%s\r\n%s", method, target, host, id, limit.Milliseconds(), header, length, body)
	if _, err := io.WriteString(c, text); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return answer{err: err, took: time.Since(begun)}
	}
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), err: err, took: time.Since(begun)}
}
