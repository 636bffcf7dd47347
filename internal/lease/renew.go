package lease

import (
	"context"
	"encoding/json"
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
	record, version := k.record, k.version
	latest, _ := k.clock.LatestMS(sentAt)
	k.mu.Unlock()
	record.RenewedMS = latest
	written, err := k.write(ctx, version, record)
	if err != nil {
		return k.renewFailed(ctx, err, record, sentAt)
	}
	k.renewed(record, written, sentAt)
	return k.Settings.Renew
}

// renewed records a renewal that was sent at sentAt.
func (k *Keeper) renewed(record Record, written Row, sentAt time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.record, k.version = record, written.Version
	k.clock.Answered(written.NowMS, sentAt)
	k.validUntil = sentAt + k.Settings.Term
}

// renewFailed reads the lease after a renewal, sent at sentAt, that got no
// response or a conflict. The renewal may have taken effect nevertheless. An
// earlier renewal may have taken effect late; the row then has this process's
// grant at another version.
func (k *Keeper) renewFailed(ctx context.Context, cause error, sent Record, sentAt time.Duration) time.Duration {
	k.Log.Info("lease not renewed", "error", cause)
	row, err := k.read(ctx)
	if err != nil {
		return retryInterval
	}
	found, reason := k.ownRecord(row, sent.GrantID)
	if reason != "" {
		k.markLost(reason)
		k.recordRead(row, sentAt)
		return 0
	}
	if found == sent {
		k.renewed(sent, row, sentAt)
		return k.Settings.Renew
	}
	k.mu.Lock()
	k.version = row.Version
	k.mu.Unlock()
	return 0
}

// ownRecord decodes the lease's row if it holds the grant with an id. Otherwise
// it returns the reason for which this process no longer holds the lease.
func (k *Keeper) ownRecord(row Row, grantID string) (record Record, lostReason string) {
	if !row.Found {
		return Record{}, "the record is missing"
	}
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return Record{}, "the record cannot be decoded"
	}
	if record.GrantID != grantID {
		return Record{}, "another node holds it"
	}
	return record, ""
}

// markLost ends this process's grant.
func (k *Keeper) markLost(reason string) {
	k.mu.Lock()
	k.holding = false
	fence := k.fence
	k.mu.Unlock()
	k.Log.Warn("lease lost", "fence", fence, "reason", reason)
}

// Retire prevents the process from acquiring the lease. A lease that it holds
// stays valid.
func (k *Keeper) Retire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.retired = true
}

// Release ends the right to act at once and records the release in the store.
func (k *Keeper) Release(ctx context.Context) {
	now, clockErr := k.now()
	k.mu.Lock()
	holding := k.holding
	k.retired, k.released = true, true
	record, version := k.record, k.version
	latest, _ := k.clock.LatestMS(now)
	k.mu.Unlock()
	if !holding {
		return
	}
	if clockErr != nil {
		k.Log.Error("lease not released: no clock to time it", "error", clockErr)
		return
	}
	record.Released, record.RenewedMS = true, latest
	_, err := k.write(ctx, version, record)
	k.Log.Info("lease released", "error", err)
}
