package lease

import (
	"encoding/json"
	"errors"
	"log/slog"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// position identifies one write of the lease's row. The versions of different
// eras are not comparable: a restored store assigns them again.
type position struct {
	era     int64
	version int64
}

// Numbers of bits of a fencing token.
const (
	versionBits = 41
	eraBits     = 12
)

// Errors of the store's era.
var (
	// ErrTokenRange means that no fencing token can be composed of an era and a
	// version. The lease is then not acquired.
	ErrTokenRange = errors.New("lease: era or version out of range for a fencing token")
	// ErrEarlierEra means that an answer is of an earlier era than one already
	// known.
	ErrEarlierEra = errors.New("lease: answer of an earlier era of the store")
	// ErrRestored means that the store was restored while a write was in flight.
	ErrRestored = errors.New("lease: store restored during the write")
)

// token returns the fencing token of a grant that was written at a position. It
// increases with the era, and within an era with the version. It is below 2^53,
// so that JSON readers that decode numbers as doubles keep it exact. In era 0 it
// is the version.
func (p position) token() (int64, error) {
	if p.era < 0 || p.era >= 1<<eraBits || p.version < 0 || p.version >= 1<<versionBits {
		return 0, ErrTokenRange
	}
	return p.era<<versionBits | p.version, nil
}

// reading is a decoded answer of the store.
type reading struct {
	row Row
	// record is the row's record, and zero unless decoded is set.
	record  Record
	decoded bool
	// sentAt and answeredAt are the local times of the call.
	sentAt     time.Duration
	answeredAt time.Duration
	// clockErr is the error of the local clock, if any.
	clockErr error
}

// decode decodes a row.
func decode(row Row, log *slog.Logger) reading {
	r := reading{row: row}
	if !row.Found {
		return r
	}
	if err := json.Unmarshal(row.Value, &r.record); err != nil {
		log.Warn("lease record cannot be decoded; its holder is unknown", "error", err)
		r.record = Record{}
		return r
	}
	r.decoded = true
	return r
}

func (r reading) position() position {
	return position{r.row.Era, r.row.Version}
}

// holderKnown reports whether the reading tells who acquired the lease last. It
// doesn't if the store may have lost a later write: if the record is of an
// earlier era than the answer, or missing though the store has been restored.
func (r reading) holderKnown() bool {
	if !r.row.Found {
		return r.row.Era == 0
	}
	return r.decoded && r.record.Era == r.row.Era
}

// UnknownHolderDelay returns the time after which a node may take the lease if
// it can't know who held it last. seenFor is the time since the node first saw
// the row as it is. A grant that another node still has was written before that.
func UnknownHolderDelay(seenFor time.Duration, s Settings) time.Duration {
	return max(0, s.Term+s.Gap+Margin-seenFor)
}

// takeoverDelay returns the time after which the node at address self may take
// the lease. The time since the row was first seen bounds the delay also where
// the store's clock has been set back.
func (r reading) takeoverDelay(self string, seenFor time.Duration, s Settings) time.Duration {
	delay := UnknownHolderDelay(seenFor, s)
	if !r.holderKnown() {
		return delay
	}
	return min(delay, TakeoverDelay(r.record, r.row.Found, self, r.row.NowMS, s))
}

// lostReason returns why a process no longer holds the grant with an id that it
// last confirmed in the store in an era. It returns "" if it may still hold it.
func (r reading) lostReason(grantID string, confirmedIn int64) string {
	switch {
	case !r.row.Found && r.row.Era > confirmedIn:
		return ""
	case !r.row.Found:
		return "the record is missing"
	case !r.decoded:
		return "the record cannot be decoded"
	case r.holderKnown() && r.record.GrantID != grantID:
		return "another node holds it"
	}
	return ""
}

// accept records the position and the clock of an answer and what it says of
// this process's grant, all at once, so that a concurrent Release never writes
// over a row that it must not. It returns ErrEarlierEra, and records nothing, if
// the answer is of an earlier era than one already known.
func (k *Keeper) accept(r reading) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	at := r.position()
	if k.positionKnown && at.era < k.position.era {
		return ErrEarlierEra
	}
	if k.positionKnown && at.era > k.position.era {
		k.logRise(at, r.answeredAt)
	}
	if !k.positionKnown || at != k.position {
		k.position, k.positionKnown, k.positionSeenAt = at, true, r.answeredAt
	}
	k.clock.Answered(r.row.NowMS, r.sentAt)
	if !k.holding {
		return nil
	}
	if reason := r.lostReason(k.record.GrantID, k.record.Era); reason != "" {
		k.endGrant(reason)
		return nil
	}
	k.unconfirmed = !r.holderKnown()
	return nil
}

// logRise records that the store's era has risen. The caller holds mu.
func (k *Keeper) logRise(to position, now time.Duration) {
	k.Log.Warn("lease era risen", "era_before", k.position.era, "era", to.era, "version", to.version,
		"holding", k.holding, "left_ms", max(0, k.validUntil-now).Milliseconds())
	metrics.GetOrCreateCounter(`chestnut_lease_era_rises_total{holding="` + strconv.FormatBool(k.holding) + `"}`).Inc()
}

// logUnknownHolder logs, once for each position, that the process waits because
// the last holder is unknown.
func (k *Keeper) logUnknownHolder(r reading, delay time.Duration) {
	k.mu.Lock()
	logged := k.loggedUnknown == r.position()
	k.loggedUnknown = r.position()
	k.mu.Unlock()
	if !logged {
		k.Log.Info("lease holder unknown", "era", r.row.Era, "version", r.row.Version, "found", r.row.Found,
			"record_era", r.record.Era, "wait_ms", delay.Milliseconds())
	}
}
