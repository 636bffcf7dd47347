package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
)

// StoreCall is a call to the platform's store that another node makes. Its
// content is not read here.
type StoreCall struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   []byte `json:"body"`
}

// StoreReply is the store's answer.
type StoreReply struct {
	Status int    `json:"status"`
	Body   []byte `json:"body"`
	// Taken tells that the store did what was asked, or said why not; it turned
	// the node away otherwise.
	Taken bool `json:"taken"`
}

// Store makes calls to the store for other nodes.
type Store interface {
	// Direct makes a call, or returns an error if the store does not serve this
	// node either, or if the outcome is not known.
	Direct(ctx context.Context, call StoreCall) (StoreReply, error)
}

const storePath = "/v1/store"

// storeTries bounds the nodes that are asked to make a call.
const storeTries = 2

var errNoPeer = errors.New("fleet: no other node is known")

// StoreCall has another node make a call to the store. It returns an error if
// none did, or if the outcome is not known.
func (c *Client) StoreCall(ctx context.Context, call StoreCall) (StoreReply, error) {
	err := errNoPeer
	for _, peer := range c.somePeers(storeTries) {
		var reply StoreReply
		if err = c.exchange(ctx, peer, storePath, call, &reply); err == nil {
			return reply, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return StoreReply{}, err
}

// somePeers returns other nodes, drawn at random.
func (c *Client) somePeers(most int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, i := range rand.Perm(len(c.peers)) {
		if peer := c.peers[i]; peer != c.Self && len(out) < most {
			out = append(out, peer)
		}
	}
	return out
}

// serveStore makes calls for other nodes.
func serveStore(store Store, answer func(w http.ResponseWriter, body any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var call StoreCall
		if !read(w, r, &call) {
			return
		}
		reply, err := store.Direct(r.Context(), call)
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		answer(w, reply)
	}
}
