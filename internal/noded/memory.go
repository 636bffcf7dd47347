package noded

// bodyMemoryShare is the share of the process's memory for the bodies of requests and
// responses that are held. The garbage collector's limit leaves room for it several times, as
// a body that is read grows by copying.
const bodyMemoryShare = 0.1

// bodyMemory returns the bytes for bodies of a process with a number of megabytes.
func bodyMemory(megabytes int64) int64 {
	return int64(float64(megabytes<<20) * bodyMemoryShare)
}
