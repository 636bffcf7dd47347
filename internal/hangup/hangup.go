// Package hangup makes a process ignore SIGHUP from before the Go runtime
// starts. Without it, a signal that arrives before the process has asked for
// SIGHUP ends the process. os/signal.Notify works as usual.
package hangup

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
