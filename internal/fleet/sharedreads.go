package fleet

import (
	"sync"
	"sync/atomic"
)

// sharedReads makes reads that callers share: each gets the result of one that began after its call.
// The zero value is usable.
type sharedReads struct {
	// begun is the number of reads that have begun.
	begun atomic.Int64
	// mu is held during a read. err is the result of the last one.
	mu  sync.Mutex
	err error
}

// after makes a read, unless another caller makes one that begins after this call.
func (r *sharedReads) after(read func() error) error {
	before := r.begun.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.begun.Load() == before {
		r.begun.Add(1)
		r.err = read()
	}
	return r.err
}
