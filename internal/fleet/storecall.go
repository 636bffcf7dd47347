package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"chestnutgauge/internal/era"
	"chestnutgauge/internal/httpclient"
	"chestnutgauge/internal/progress"
)

// StoreCall is a call to the platform's store made through another node. This
// package does not interpret its content.
type StoreCall struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   []byte `json:"body"`
	// Wait is how long the store may wait before it answers.
	Wait time.Duration `json:"wait,omitempty"`
}

// StoreReply is the store's response.
type StoreReply struct {
	Status int    `json:"status"`
	Body   []byte `json:"body"`
	// Era is the era that the response states.
	Era era.Reading `json:"era"`
	// Processed reports whether the store processed the call, with success or
	// with a definite error. It is false if the store refused to serve the
	// node.
	Processed bool `json:"taken"`
}

// Store makes calls to the store on behalf of other nodes.
type Store interface {
	// Direct makes a call without going through another node. It returns an
	// error if the store does not serve this node, or if the outcome is
	// unknown.
	Direct(ctx context.Context, call StoreCall) (StoreReply, error)
}

const storePath = "/v1/store"

// Limits on the number of nodes through which one call is attempted.
const (
	writeAttempts = 2
	readAttempts  = 3
)

const (
	// peerReadTimeout is how long a read through one other node may bring nothing, in addition to its wait,
	// so that one that does not answer leaves time for another way.
	peerReadTimeout = 400 * time.Millisecond
	// maxPeerRead bounds such a read whose answer moves on.
	maxPeerRead = 10 * time.Second
	// maxStoreReply bounds the response with the store's answer, which encodes that once more, in bytes.
	maxStoreReply = 8 << 20
)

// ErrNotMade means that a call did not reach the store. After any other error the
// outcome of the call is unknown.
var ErrNotMade = errors.New("fleet: the call to the store was not made")

var errNoPeer = fmt.Errorf("%w: no other node is known", ErrNotMade)

// notMade reports whether an error shows that a call did not reach the store:
// another node said so, or nothing of it was written.
func notMade(err error) bool {
	return errors.Is(err, ErrNotMade) || httpclient.NotSent(err)
}

// mayRepeat reports whether a call may be made again after an error. A write may
// not if its outcome is unknown: the second one would fail at its condition though
// the first one was executed.
func mayRepeat(call StoreCall, err error) bool {
	return call.Method == http.MethodGet || notMade(err)
}

// StoreCall makes a call to the store through another node. It returns an error
// if no node made the call, or if the outcome is unknown.
func (c *Client) StoreCall(ctx context.Context, call StoreCall) (StoreReply, error) {
	if call.Method == http.MethodGet {
		return c.storeRead(ctx, call)
	}
	err := errNoPeer
	for _, peer := range c.nextPeers(writeAttempts) {
		var reply StoreReply
		if reply, err = c.storeCallThrough(ctx, peer, call); err == nil {
			return reply, nil
		}
		if ctx.Err() != nil || !mayRepeat(call, err) {
			break
		}
	}
	return StoreReply{}, err
}

// storeRead is StoreCall for a read. A node that does not answer soon is not waited for alone.
func (c *Client) storeRead(ctx context.Context, call StoreCall) (StoreReply, error) {
	var ways []storeWay
	for _, peer := range c.nextPeers(readAttempts) {
		ways = append(ways, func(ctx context.Context, call StoreCall) (StoreReply, error) {
			return c.storeCallThrough(ctx, peer, call)
		})
	}
	r := hedgedRead(ctx, call, ways)
	if r.found != nil {
		return r.found.reply, nil
	}
	for _, result := range r.failed {
		if result.err == nil {
			return result.reply, nil
		}
	}
	if err := ctx.Err(); err != nil {
		return StoreReply{}, err
	}
	return StoreReply{}, errNoPeer
}

// storeCallThrough makes a call through one other node. Only reads have a time limit
// of their own: the outcome of a write that is given up is unknown.
func (c *Client) storeCallThrough(ctx context.Context, peer string, call StoreCall) (reply StoreReply, err error) {
	if call.Method != http.MethodGet {
		err = post(ctx, c.HTTP, peer, storePath, call, &reply)
		return reply, err
	}
	ctx, cancel := progress.WithTimeout(ctx, peerReadTimeout+call.Wait, maxPeerRead)
	defer cancel()
	err = postWith(ctx, c.HTTP, peer, storePath, postOptions{header: acceptCompressed(), maxResponse: maxStoreReply}, call, &reply)
	return reply, err
}
