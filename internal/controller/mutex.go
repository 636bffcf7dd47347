package controller

import "context"

// mutex is a lock whose acquire method returns early when a context ends.
type mutex chan struct{}

func newMutex() mutex {
	return make(mutex, 1)
}

// acquire locks the mutex. It returns the error of ctx if ctx ends first.
func (m mutex) acquire(ctx context.Context) error {
	select {
	case m <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m mutex) release() {
	<-m
}
