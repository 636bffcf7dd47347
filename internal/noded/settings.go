package noded

import (
	"runtime/debug"

	"chestnutgauge/internal/reload"
	"chestnutgauge/platform"
)

func setMemoryLimit(megabytes int64) {
	debug.SetMemoryLimit(int64(float64(megabytes<<20) * memoryLimitShare))
}

// readSettings reloads the settings file and logs one line. If the file is
// invalid, the active settings remain.
func (n *Node) readSettings(trigger reload.Trigger) {
	next, err := platform.LoadSettings(n.settings.Load().File)
	if err != nil {
		n.log.Error("settings file invalid; keeping the active settings", "trigger", string(trigger), "error", err)
		return
	}
	n.apply(next, trigger)
}

// apply activates new settings. Changes of addresses, of the lease's times and
// of the machine's resources take effect only after a restart of the process.
func (n *Node) apply(next platform.Settings, trigger reload.Trigger) {
	active := *n.settings.Load()
	changes := active.Changes(next)
	if len(changes) == 0 {
		n.log.Info("settings read again", "changed", false, "trigger", string(trigger))
		return
	}
	setMemoryLimit(next.MemoryMB)
	n.memory.SetLimit(bodyMemory(next.MemoryMB))
	n.relay.SetBudget(next.RetryShare, next.RetryExtra)
	n.settings.Store(&next)
	n.log.Info("settings read again", "changed", true, "restart_needed", needsRestart(active, next), "trigger", string(trigger), "changes", changes)
}

// needsRestart reports whether settings differ that take effect only after a
// restart.
func needsRestart(active, next platform.Settings) bool {
	next.MemoryMB = active.MemoryMB
	next.ShutdownLimit = active.ShutdownLimit
	next.RetryShare = active.RetryShare
	next.RetryExtra = active.RetryExtra
	next.StrictRevocation = active.StrictRevocation
	next.RevocationLimit = active.RevocationLimit
	return next != active
}
