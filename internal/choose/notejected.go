package choose

// NotEjected excludes endpoints that are ejected after failures.
type NotEjected struct{}

// Keep implements Filter.
func (NotEjected) Keep(req Request, c Candidate) bool {
	return !c.EjectedUntil.After(req.Now)
}
