package choose

// NotHeld leaves out endpoints that are spared after failures.
type NotHeld struct{}

// Keep implements Filter.
func (NotHeld) Keep(req Request, c Candidate) bool {
	return !c.HeldUntil.After(req.Now)
}
