package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/config"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/platform"
	"chestnutgauge/internal/rendezvous"
)

// ownershipInterval is the mean time between two looks at the ownership of
// engines.
const ownershipInterval = 400 * time.Millisecond

// ownerRow is the value of an engine's row: who owns it, and with which fence.
type ownerRow struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	Fence       int64  `json:"fence"`
}

func ownerKey(name string) string {
	return "owner/" + name
}

// RunOwnership takes and drops engines until ctx ends.
func (c *Controller) RunOwnership(ctx context.Context) error {
	defer c.watches.Wait()
	defer c.end()
	for {
		for _, endpoint := range c.Config.Current().Endpoints() {
			if err := c.settle(ctx, endpoint); err != nil {
				c.Log.Debug("ownership not settled", "endpoint", endpoint.Spec.GetName(), "error", err)
			}
		}
		wait := ownershipInterval/2 + rand.N(ownershipInterval)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// settle takes an engine if this controller ranks first for it.
func (c *Controller) settle(ctx context.Context, endpoint config.Endpoint) error {
	name := endpoint.Spec.GetName()
	if endpoint.Spec.GetDataCentre() != c.DataCentre || endpoint.Service.GetKind() != pb.ServiceKind_SERVICE_KIND_ENGINES {
		return nil
	}
	if _, mine := c.owner(name); mine || c.firstRanked(name) != c.VM {
		return nil
	}
	row, err := c.Table.Get(ctx, ownerKey(name))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	var current ownerRow
	if row.Value != nil {
		if err := json.Unmarshal(row.Value, &current); err != nil {
			return fmt.Errorf("controller: owner row of %s: %w", name, err)
		}
	}
	next := ownerRow{VM: c.VM, Incarnation: c.Events.Incarnation(), Fence: current.Fence + 1}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	txn := platform.Txn{
		OperationID: newOperationID(),
		Guards:      []platform.Guard{{Key: ownerKey(name), Version: row.Version}},
		Writes:      []platform.Write{{Key: ownerKey(name), Value: value}},
	}
	if _, err := platform.CommitResolved(ctx, c.Table, txn); err != nil {
		return err
	}
	return c.confirm(ctx, endpoint, next.Fence)
}

// confirm raises the fence at the engine and reads what it holds, before
// anything is ordered.
func (c *Controller) confirm(ctx context.Context, endpoint config.Endpoint, fence int64) error {
	client := c.Connect(endpoint.Spec.GetAddress())
	order := engine.Order{ID: newOperationID(), Kind: engine.OrderRaiseFence, Fence: fence}
	if err := client.Order(ctx, order); err != nil {
		return err
	}
	state, err := client.State(ctx)
	if err != nil {
		return err
	}
	bound, err := c.Slots.Bound(ctx, endpoint.Spec.GetName())
	if err != nil {
		return err
	}
	c.take(newOwnedEngine(c, endpoint.Spec.GetName(), fence, client, state, bound))
	return nil
}

func (c *Controller) firstRanked(key string) string {
	return rendezvous.First(key, c.liveControllers())
}

func (c *Controller) liveControllers() []string {
	var out []string
	for _, member := range c.Members.Members(membership.RoleController, c.DataCentre) {
		if !member.Leaving {
			out = append(out, member.VM)
		}
	}
	return out
}
