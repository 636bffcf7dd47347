package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"chestnutgauge/internal/config"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/permits"
	"chestnutgauge/internal/placement"
	"chestnutgauge/internal/platform"
)

// permitsKey is the key of the row with the permits of loads from the weight
// store.
const permitsKey = "permits/loads"

// adaptersInTransit is the number of concurrent adapter loads, over all VMs,
// that still run at full speed.
const adaptersInTransit = 30

// adapterWait is the maximum wait for a share of the adapter loads.
const adapterWait = 500 * time.Millisecond

// transit counts this controller's loads in progress from the weight store.
type transit struct {
	mu       sync.Mutex
	loads    int
	adapters int
	freed    chan struct{}
}

// acquire waits until count is below limit, but for at most wait, and then
// increments count in any case. The returned function decrements it.
func (t *transit) acquire(ctx context.Context, count *int, limit int, wait time.Duration) (release func()) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	t.mu.Lock()
	for waiting := true; waiting && *count >= limit; {
		if t.freed == nil {
			t.freed = make(chan struct{})
		}
		freed := t.freed
		t.mu.Unlock()
		select {
		case <-freed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		t.mu.Lock()
	}
	*count++
	t.mu.Unlock()
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		*count--
		if t.freed != nil {
			close(t.freed)
			t.freed = nil
		}
	}
}

// admitLoad waits for the share of the weight store's capacity that a load
// needs, and returns the function that releases it. After a bounded wait the
// load proceeds without one.
func (c *Controller) admitLoad(ctx context.Context, owned *ownedEngine, model config.Model, deadline time.Time) (release func()) {
	state := owned.currentState()
	if !holdsModel(state, model.Spec.GetName()) {
		if cachedTier(state, model) != engine.TierRemote {
			return func() {}
		}
		return c.admitCheckpoint(ctx, owned.name, model, deadline)
	}
	if model.Adapter == nil || holds(state, model) {
		return func() {}
	}
	share := max(1, c.share(adaptersInTransit))
	return c.transit.acquire(ctx, &c.transit.adapters, share, adapterWait)
}

func holdsModel(state engine.State, name string) bool {
	return slices.ContainsFunc(state.Loaded, func(l engine.Loaded) bool { return l.Model == name }) ||
		slices.ContainsFunc(state.Loading, func(l engine.Loading) bool { return l.Model == name })
}

// cachedTier returns the tier at which an engine has the configured version of
// a model.
func cachedTier(state engine.State, model config.Model) engine.Tier {
	for _, cached := range state.Cached {
		if cached.Model == model.Spec.GetName() && cached.Version == model.Spec.GetVersion() {
			return cached.Tier
		}
	}
	return engine.TierRemote
}

// share returns this controller's share of a total over all VMs.
func (c *Controller) share(total int) int {
	ranked := c.ranked(permitsKey, "")
	for rank, member := range ranked {
		if member.VM == c.VM {
			return permits.Share(total, rank, len(ranked))
		}
	}
	return 0
}

// admitCheckpoint waits for a permit. While the table is unavailable it uses a
// fixed share of the permits instead.
func (c *Controller) admitCheckpoint(ctx context.Context, endpoint string, model config.Model, deadline time.Time) (release func()) {
	s := permits.DefaultSettings()
	expected := expectedLoad(model)
	claim := permits.Claim{ID: endpoint + "/" + model.Spec.GetName(), Deadline: deadline, Expected: expected}
	until := time.Now().Add(min(s.MaxWait, max(0, time.Until(deadline)-expected)))
	for {
		granted, err := c.requestPermit(ctx, s, claim)
		switch {
		case granted:
			return func() { go c.releasePermit(claim.ID) }
		case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrUnknown):
			return c.transit.acquire(ctx, &c.transit.loads, c.share(s.Permits), s.OutageWait)
		case time.Now().After(until) || ctx.Err() != nil:
			return func() { go c.releasePermit(claim.ID) }
		}
		pause.For(ctx, jitter(s.Poll))
	}
}

// expectedLoad returns the expected duration of a load from the weight store.
func expectedLoad(model config.Model) time.Duration {
	wanted := placement.Request{CheckpointBytes: model.Spec.GetCheckpointBytes()}
	seconds := placement.LoadTime(placement.DefaultSettings(), wanted, placement.Candidate{Tier: engine.TierRemote})
	return time.Duration(seconds * float64(time.Second))
}

// requestPermit requests a permit once. A conflict with another claim is not an
// error: the caller retries.
func (c *Controller) requestPermit(ctx context.Context, s permits.Settings, claim permits.Claim) (bool, error) {
	row, version, err := c.readPermits(ctx)
	if err != nil {
		return false, err
	}
	result := permits.Acquire(s, row, claim, time.Now())
	if !result.Changed {
		return result.Granted, nil
	}
	err = c.writePermits(ctx, result.Row, version)
	if platform.IsConflict(err) {
		return false, nil
	}
	return result.Granted && err == nil, err
}

// releaseAttempts limits the attempts to release a permit; a permit that is not
// released expires.
const releaseAttempts = 5

func (c *Controller) releasePermit(id string) {
	ctx, cancel := context.WithTimeout(c.lifetime, c.settings.TableTimeout)
	defer cancel()
	for range releaseAttempts {
		row, version, err := c.readPermits(ctx)
		if err != nil {
			return
		}
		next, changed := permits.Release(row, id)
		if !changed || !platform.IsConflict(c.writePermits(ctx, next, version)) {
			return
		}
		pause.For(ctx, jitter(permits.DefaultSettings().Poll/10))
	}
}

func (c *Controller) readPermits(ctx context.Context) (permits.Row, int64, error) {
	var value permits.Row
	row, err := c.Table.Get(ctx, permitsKey)
	if errors.Is(err, platform.ErrNotFound) {
		return value, 0, nil
	}
	if err != nil {
		return value, 0, err
	}
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, 0, fmt.Errorf("controller: row of permits: %w", err)
	}
	return value, row.Version, nil
}

func (c *Controller) writePermits(ctx context.Context, row permits.Row, version int64) error {
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	_, err = c.Table.Commit(ctx, platform.Txn{
		OperationID: newOperationID(),
		Guards:      []platform.Guard{guard(permitsKey, version)},
		Writes:      []platform.Write{{Key: permitsKey, Value: value}},
	})
	return err
}
