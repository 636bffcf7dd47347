package controller

import "context"

// gate lets one holder in at a time. Unlike a mutex, its waiters give up when
// their context ends.
type gate chan struct{}

func newGate() gate {
	return make(gate, 1)
}

// enter waits for the gate. It returns the error of ctx if that ends first.
func (g gate) enter(ctx context.Context) error {
	select {
	case g <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g gate) leave() {
	<-g
}
