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

// permitsKey is the row of the permits of loads from the weight store.
const permitsKey = "permits/loads"

// adaptersInTransit is the number of adapter loads that run at full speed at
// once over all VMs.
const adaptersInTransit = 30

// adapterWait is the longest wait for a share of the adapter loads.
const adapterWait = 500 * time.Millisecond

// transit counts this controller's loads from the weight store.
type transit struct {
	mu       sync.Mutex
	loads    int
	adapters int
	freed    chan struct{}
}

// enter waits until count is below limit, for at most wait, and goes on in any
// case. The returned function ends the stay.
func (t *transit) enter(ctx context.Context, count *int, limit int, wait time.Duration) (leave func()) {
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

// admitLoad waits for the share of the weight store that a load needs. The
// returned function gives it back. It never refuses.
func (c *Controller) admitLoad(ctx context.Context, owned *ownedEngine, model config.Model, deadline time.Time) (release func()) {
	state := owned.read()
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
	return c.transit.enter(ctx, &c.transit.adapters, share, adapterWait)
}

func holdsModel(state engine.State, name string) bool {
	return slices.ContainsFunc(state.Loaded, func(l engine.Loaded) bool { return l.Model == name }) ||
		slices.ContainsFunc(state.Loading, func(l engine.Loading) bool { return l.Model == name })
}

// cachedTier returns where an engine has a model's configured version.
func cachedTier(state engine.State, model config.Model) engine.Tier {
	for _, cached := range state.Cached {
		if cached.Model == model.Spec.GetName() && cached.Version == model.Spec.GetVersion() {
			return cached.Tier
		}
	}
	return engine.TierRemote
}

// share returns this controller's part of a total over all VMs.
func (c *Controller) share(total int) int {
	ranked := c.ranked(permitsKey, "")
	for rank, member := range ranked {
		if member.VM == c.VM {
			return permits.Share(total, rank, len(ranked))
		}
	}
	return 0
}

// admitCheckpoint waits for a permit. While the table is away it keeps to a
// fixed share of the permits.
func (c *Controller) admitCheckpoint(ctx context.Context, endpoint string, model config.Model, deadline time.Time) (release func()) {
	s := permits.DefaultSettings()
	expected := expectedLoad(model)
	claim := permits.Claim{ID: endpoint + "/" + model.Spec.GetName(), Deadline: deadline, Expected: expected}
	until := time.Now().Add(min(s.MaxWait, max(0, time.Until(deadline)-expected)))
	for {
		granted, err := c.askPermit(ctx, s, claim)
		switch {
		case granted:
			return func() { go c.releasePermit(claim.ID) }
		case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrUnknown):
			return c.transit.enter(ctx, &c.transit.loads, c.share(s.Permits), s.OutageWait)
		case time.Now().After(until) || ctx.Err() != nil:
			return func() { go c.releasePermit(claim.ID) }
		}
		pause.For(ctx, jitter(s.Poll))
	}
}

// expectedLoad returns the expected time of a load from the weight store.
func expectedLoad(model config.Model) time.Duration {
	wanted := placement.Wanted{CheckpointBytes: model.Spec.GetCheckpointBytes()}
	seconds := placement.LoadTime(placement.DefaultSettings(), wanted, placement.Candidate{Tier: engine.TierRemote})
	return time.Duration(seconds * float64(time.Second))
}

// askPermit asks once. A conflict with another claim is not an error: the
// claim is asked for again.
func (c *Controller) askPermit(ctx context.Context, s permits.Settings, claim permits.Claim) (bool, error) {
	row, version, err := c.readPermits(ctx)
	if err != nil {
		return false, err
	}
	answer := permits.Ask(s, row, claim, time.Now())
	if !answer.Changed {
		return answer.Granted, nil
	}
	err = c.writePermits(ctx, answer.Row, version)
	if platform.IsConflict(err) {
		return false, nil
	}
	return answer.Granted && err == nil, err
}

// releaseTries bounds the tries to give back a permit; its lease ends anyway.
const releaseTries = 5

func (c *Controller) releasePermit(id string) {
	ctx, cancel := context.WithTimeout(c.life, c.settings.TableTimeout)
	defer cancel()
	for range releaseTries {
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
