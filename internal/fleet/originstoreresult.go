package fleet

import (
	"errors"

	"github.com/VictoriaMetrics/metrics"
)

// historyResult is the outcome of a read of the stored history.
type historyResult string

// Outcomes of a read of the stored history.
const (
	// historyStored means that the stored history and the changes since were added.
	historyStored historyResult = "stored"
	// historyComplete means that there is none, and that all changes of the store since its
	// beginning were added.
	historyComplete historyResult = "complete"
	// historyNone means that there is none yet.
	historyNone historyResult = "none"
	// historyGone means that the store no longer has the changes since.
	historyGone historyResult = "changes_gone"
	// historyRestored means that the store was restored from an older copy since.
	historyRestored historyResult = "store_restored"
	// historyUnreadable means that the row can't be decoded.
	historyUnreadable historyResult = "unreadable"
	// historyFailed means that a call failed, or that this node has not watched yet.
	historyFailed historyResult = "failed"
)

// final reports whether another read would not change the outcome.
func (r historyResult) final() bool {
	return r != historyNone && r != historyFailed
}

var (
	// errNotWatching means that this node has not known all endpoints without a gap since
	// before the read.
	errNotWatching = errors.New("endpoints not known without a gap")
	// errStoreRestored means that the store was restored during a read.
	errStoreRestored = errors.New("store restored during the read")
)

// countHistoryRead counts a read of the stored history.
func countHistoryRead(result historyResult) {
	metrics.GetOrCreateCounter(`chestnut_version_history_reads_total{result="` + string(result) + `"}`).Inc()
}

// countHistoryWrite counts a write of the stored history.
func countHistoryWrite(err error) {
	outcome := "written"
	switch {
	case errors.Is(err, ErrHistoryConflict):
		outcome = "conflict"
	case err != nil:
		outcome = "failed"
	}
	metrics.GetOrCreateCounter(`chestnut_version_history_writes_total{outcome="` + outcome + `"}`).Inc()
}
