package standin

import (
	"context"
	"slices"
	"sync"

	"chestnutgauge/internal/platform"
)

// Objects is an in-memory platform.Objects.
type Objects struct {
	faults *Faults

	mu   sync.Mutex
	data map[string][]byte
}

// NewObjects returns an empty object store.
func NewObjects(faults *Faults) *Objects {
	return &Objects{faults: faults, data: map[string][]byte{}}
}

// Put implements platform.Objects.
func (o *Objects) Put(_ context.Context, key string, data []byte) error {
	if o.faults.tableDown() {
		return platform.ErrUnavailable
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data[key] = slices.Clone(data)
	return nil
}

// Get implements platform.Objects.
func (o *Objects) Get(_ context.Context, key string) ([]byte, error) {
	if o.faults.tableDown() {
		return nil, platform.ErrUnavailable
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.data[key]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return slices.Clone(data), nil
}

// Delete implements platform.Objects.
func (o *Objects) Delete(_ context.Context, key string) error {
	if o.faults.tableDown() {
		return platform.ErrUnavailable
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.data, key)
	return nil
}

// Count returns the number of objects.
func (o *Objects) Count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.data)
}
