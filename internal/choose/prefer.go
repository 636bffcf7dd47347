package choose

// preferOwn returns the candidates in the chooser's own data centre, or all if
// there is none. Candidates at capacity are excluded beforehand, so a request
// is sent to another data centre if its own has no replica or is at capacity.
func preferOwn(req Request, candidates []Candidate) []Candidate {
	return prefer(candidates, func(c Candidate) bool { return c.DataCentre == req.DataCentre })
}

// preferUntried returns the candidates at which no earlier attempt failed, or
// all if there is none.
func preferUntried(candidates []Candidate) []Candidate {
	return prefer(candidates, func(c Candidate) bool { return !c.Tried })
}

// prefer returns the candidates that pass the test, or all if none does.
func prefer(candidates []Candidate, test func(Candidate) bool) []Candidate {
	out := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if test(c) {
			out = append(out, c)
		}
	}
	if len(out) == 0 {
		return candidates
	}
	return out
}
