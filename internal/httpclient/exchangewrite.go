package httpclient

import "time"

// beginWrite returns an error if nothing may be written to a connection.
func (x *Exchange) beginWrite(c *trackedConn) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended || x.conn != c {
		return errSecondConnection
	}
	if x.state == NotWritten && !x.permitted() {
		x.state = Refused
	}
	switch x.state {
	case Refused:
		// net/http would repeat the request on another connection.
		x.stop(ErrNotAllowed)
		return ErrNotAllowed
	case NotReusable:
		x.stop(errNotReusable)
		return errNotReusable
	}
	x.state = Written
	return nil
}

// permitted makes the checks. The caller holds mu.
func (x *Exchange) permitted() bool {
	return (x.allowed == nil || x.allowed()) && (x.terms.Check == nil || x.terms.Check())
}

// wrote records the result of a write, which accepted data.
func (x *Exchange) wrote(c *trackedConn, data []byte, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.bytes += int64(len(data))
	x.progress.add(data)
	if err != nil {
		x.progress.end()
	}
	if x.bytes > 0 || err == nil || x.ended || x.conn != c {
		return
	}
	x.state = NotWritten
	x.stop(err)
}

// writeTimeout is how long the end of a connection waits for the rest of its request to be written, or to
// fail. The peer has ended its side, so that it takes one round trip unless the peer still reads.
const writeTimeout = 200 * time.Millisecond

// writtenWhole reports whether all of the request is written to a connection that has ended, or nothing.
func (x *Exchange) writtenWhole(c *trackedConn) bool {
	x.mu.Lock()
	written := x.state == Written && x.conn == c
	ended := x.progress.ended
	x.mu.Unlock()
	if !written {
		return true
	}
	timer := time.NewTimer(writeTimeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.progress.whole()
}

// Stop ends the writing: nothing of the request is written any more. It has no effect if all of it was
// written.
func (x *Exchange) Stop() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.endWriting()
}

// endWriting is Stop. The caller holds mu.
func (x *Exchange) endWriting() {
	x.ended = true
	x.progress.end()
}
