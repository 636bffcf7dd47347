package noded

import (
	"runtime/debug"

	"chestnutgauge/platform"
)

func setMemoryLimit(megabytes int64) {
	debug.SetMemoryLimit(int64(float64(megabytes<<20) * memoryLimitShare))
}

// readSettings reloads the settings file. If the file is invalid, the active
// settings remain.
func (n *Node) readSettings() {
	next, err := platform.LoadSettings(n.settings.Load().File)
	if err != nil {
		n.log.Error("settings file invalid; keeping the active settings", "error", err)
		return
	}
	n.apply(next)
}

// apply activates new settings. Changes of addresses, of the lease's times and
// of the machine's resources take effect only after a restart of the process.
func (n *Node) apply(next platform.Settings) {
	active := *n.settings.Load()
	if next == active {
		n.log.Info("settings read again", "changed", false)
		return
	}
	setMemoryLimit(next.MemoryMB)
	if next.RetryShare != active.RetryShare || next.RetryExtra != active.RetryExtra {
		n.relay.SetBudget(next.RetryShare, next.RetryExtra)
	}
	n.settings.Store(&next)
	n.log.Info("settings read again", "changed", true, "restart_needed", needsRestart(active, next),
		"memory_mb", next.MemoryMB, "shutdown_limit", next.ShutdownLimit, "retry_share", next.RetryShare, "retry_extra", next.RetryExtra)
}

// needsRestart reports whether settings differ that take effect only after a
// restart.
func needsRestart(active, next platform.Settings) bool {
	next.MemoryMB = active.MemoryMB
	next.ShutdownLimit = active.ShutdownLimit
	next.RetryShare = active.RetryShare
	next.RetryExtra = active.RetryExtra
	return next != active
}
