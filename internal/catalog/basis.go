package catalog

import "time"

// Source says who confirmed that a configuration was the one in the store.
type Source string

// Sources of confirmations.
const (
	// SourceNone means that it was never confirmed.
	SourceNone Source = "none"
	// SourceStore is the store, read by this node itself or through another one.
	SourceStore Source = "store"
	// SourceOwner is the owner of the engines.
	SourceOwner Source = "owner"
	// SourceNode is another node that was asked.
	SourceNode Source = "node"
)

// Basis is what one decision on a request rests on: the configuration in force, and how recent it was
// known to be at that moment.
type Basis struct {
	// Catalog is nil if no configuration is in force yet.
	Catalog *Catalog
	// Age is the time since Source confirmed that it is the one in the store, negative if none has.
	Age    time.Duration
	Source Source
	// Recent means that Age is within the time in which all nodes must use a new version, so that no
	// version can be missing for longer than that.
	Recent bool
	// KeysRecent means that Age is within the time in which a key that is taken away must be refused.
	KeysRecent bool
	// Asked is for how long the store and other nodes have been asked in vain for a confirmation. It
	// is 0 if Recent.
	Asked time.Duration
}

// Decision is something that a configuration decides on a request.
type Decision string

// Decisions. A node that can't have its configuration confirmed goes on with what that has: it is the
// best that is known, and callers of a data centre that is cut off have no other. What it lacks may
// have been added, so it refuses nothing for good by it.
const (
	// DecisionServe sends a request by the route that it has: to its service, with its time limit.
	DecisionServe Decision = "serve"
	// DecisionAcceptKey takes a caller for the team that has the key.
	DecisionAcceptKey Decision = "accept_key"
	// DecisionRefuseRoute refuses a request since no route matches it.
	DecisionRefuseRoute Decision = "refuse_route"
	// DecisionRefuseModel refuses a request since its service has no such model.
	DecisionRefuseModel Decision = "refuse_model"
	// DecisionRefuseKey refuses a request since no team has its key.
	DecisionRefuseKey Decision = "refuse_key"
	// DecisionRefuseSize refuses a request since it is larger than the limits.
	DecisionRefuseSize Decision = "refuse_size"
)

// Permits reports whether the configuration is recent enough for a decision. A request for which it is
// not gets the advice to come back, and has not run.
func (b Basis) Permits(d Decision) bool {
	switch d {
	case DecisionServe:
		return true
	case DecisionAcceptKey:
		return b.KeysRecent
	}
	return b.Recent
}
