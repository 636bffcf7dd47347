package lease

import (
	"context"
	"errors"
	"time"
)

// renew extends the grant and returns the time until the next step. A grant
// that has expired continues if no other node has acquired the lease since.
func (k *Keeper) renew(ctx context.Context) time.Duration {
	sentAt, err := k.now()
	if err != nil {
		k.markLost("no clock to time it")
		return pollInterval
	}
	k.mu.Lock()
	record, at := k.record, k.position
	latest, _ := k.clock.LatestMS(sentAt)
	k.renewals++
	record.Renewal = k.renewals
	k.mu.Unlock()
	record.RenewedMS, record.Era = latest, at.era
	k.nameNodes(&record, record)
	written, err := k.write(ctx, at.version, record)
	if err != nil {
		return k.renewFailed(ctx, err, record, sentAt)
	}
	return k.renewed(record, written, sentAt)
}

// renewed records that a record that was sent at sentAt is in the row, and
// returns the time until the next step. If the store was restored on the way,
// the record does not count in its new era and is written again.
func (k *Keeper) renewed(record Record, written Row, sentAt time.Duration) time.Duration {
	if written.Era != record.Era {
		return 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.record, k.found = record, true
	k.validUntil = sentAt + k.Settings.Term
	return k.Settings.Renew
}

// renewFailed reads the lease after a renewal, sent at sentAt, that got no
// response or a conflict. The renewal may have taken effect nevertheless. An
// earlier renewal may have taken effect late; the row then has this process's
// grant at another version.
func (k *Keeper) renewFailed(ctx context.Context, cause error, sent Record, sentAt time.Duration) time.Duration {
	k.Log.Info("lease not renewed", "error", cause)
	r, err := k.read(ctx)
	if err := errors.Join(err, r.clockErr); err != nil {
		k.Log.Info("lease not read", "error", err)
		return retryInterval
	}
	if !k.isHolding() {
		k.recordHolder(r)
		return 0
	}
	if r.decoded && r.record == sent {
		return k.renewed(sent, r.row, sentAt)
	}
	return 0
}

func (k *Keeper) isHolding() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holding
}

// markLost ends this process's grant.
func (k *Keeper) markLost(reason string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.endGrant(reason)
}

// endGrant ends this process's grant. The caller holds mu.
func (k *Keeper) endGrant(reason string) {
	k.holding, k.found = false, false
	k.Log.Warn("lease lost", "fence", k.fence, "reason", reason)
}

// Retire prevents the process from acquiring the lease. A lease that it holds
// stays valid.
func (k *Keeper) Retire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.retired = true
}

// StandAside releases the lease if the process holds it, and leaves it to others until
// Return.
func (k *Keeper) StandAside(ctx context.Context) {
	k.Release(ctx)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.holding {
		k.endGrant("stands aside")
	}
	k.retired, k.released = false, false
	k.aside = true
}

// Return ends StandAside: the process may acquire the lease again.
func (k *Keeper) Return() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.aside = false
}

func (k *Keeper) isAside() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.aside
}

// Release ends the right to act at once and records the release in the store.
func (k *Keeper) Release(ctx context.Context) {
	now, clockErr := k.now()
	k.mu.Lock()
	holding := k.holding
	k.retired, k.released = true, true
	record, at := k.record, k.position
	latest, _ := k.clock.LatestMS(now)
	k.mu.Unlock()
	if !holding {
		return
	}
	if clockErr != nil {
		k.Log.Error("lease not released: no clock to time it", "error", clockErr)
		return
	}
	record.Released, record.RenewedMS, record.Era = true, latest, at.era
	_, err := k.write(ctx, at.version, record)
	k.Log.Info("lease released", "error", err)
}
