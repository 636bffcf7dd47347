package choose

// AcceptsWork excludes endpoints that are unreachable, leaving or drained. The
// endpoints of a data centre without a connection count as unreachable.
type AcceptsWork struct{}

// Keep implements Filter.
func (AcceptsWork) Keep(_ Request, c Candidate) bool {
	return !c.Unreachable && !c.Leaving && !c.Drained
}
