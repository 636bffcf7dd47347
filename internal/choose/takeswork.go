package choose

// TakesWork leaves out endpoints that are unreachable, leaving or drained. An
// endpoint of a data centre that is cut off is unreachable.
type TakesWork struct{}

// Keep implements Filter.
func (TakesWork) Keep(_ Request, c Candidate) bool {
	return !c.Unreachable && !c.Leaving && !c.Drained
}
