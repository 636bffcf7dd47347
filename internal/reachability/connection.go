package reachability

// Connection is the result of an attempt to connect to an endpoint.
type Connection int

// Results of attempts to connect.
const (
	// Unanswered means that no connection was made and none was refused.
	Unanswered Connection = iota
	// Refused means that the address refuses connections, as after a crash.
	Refused
	// Made means that a connection was made.
	Made
)
