package relay

import "errors"

// Connection describes the connections that an attempt took.
type Connection struct {
	// Taken is their number. The request was written to the last one alone, if at all.
	Taken int
	// Kept means that the last one had been used before.
	Kept bool
	// Written means that bytes of the request were written.
	Written bool
}

// attrs returns the attributes for a log line.
func (c Connection) attrs() []any {
	return []any{"connections", c.Taken, "connection_kept", c.Kept, "written", c.Written}
}

// connectionOf returns the connection of an attempt from its result.
func connectionOf(reply *Reply, err error) Connection {
	var failed *SendError
	switch {
	case errors.As(err, &failed):
		return failed.Connection
	case reply != nil:
		return reply.Connection
	}
	return Connection{}
}
