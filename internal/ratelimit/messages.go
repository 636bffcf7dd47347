package ratelimit

// NodeAsk is what a node asks of the owner for all its teams.
type NodeAsk struct {
	// Node is the address of the node.
	Node string `json:"node"`
	// AnsweredMS is the time since the node sent the last ask that was answered, or since it
	// started, in milliseconds.
	AnsweredMS int64     `json:"answered_ms"`
	Teams      []TeamAsk `json:"teams,omitempty"`
}

// TeamAsk is what a node asks for a team. All amounts are in the unit of its limit.
type TeamAsk struct {
	Team string `json:"team"`
	// Need is what the requests that wait need in addition to what the node has, Least what the
	// smallest of them needs.
	Need  float64 `json:"need,omitempty"`
	Least float64 `json:"least,omitempty"`
	// Ahead is what the node expects to use until its next ask.
	Ahead   float64       `json:"ahead,omitempty"`
	Returns []TokenReturn `json:"returns,omitempty"`
}

// TokenReturn are granted tokens that were not used.
type TokenReturn struct {
	Tokens float64 `json:"tokens"`
	// AgeMS is the time since they were granted, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// NodeAnswer is the owner's answer to a NodeAsk.
type NodeAnswer struct {
	// Nodes is the number of nodes that share the limits.
	Nodes int          `json:"nodes"`
	Teams []TeamAnswer `json:"teams,omitempty"`
}

// TeamAnswer is the owner's answer to a TeamAsk.
type TeamAnswer struct {
	Team    string  `json:"team"`
	Granted float64 `json:"granted,omitempty"`
	// InMS is the time until there are the tokens that the smallest request needs, in
	// milliseconds, if not all that was needed is granted.
	InMS int64 `json:"in_ms,omitempty"`
	// Unknown means that the owner's configuration does not have the team.
	Unknown bool `json:"unknown,omitempty"`
}
