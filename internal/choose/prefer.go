package choose

// preferOwn keeps the endpoints of the chooser's own data centre if there is
// one. Candidates without room have been left out before, so a request goes to
// another data centre when its own has no replica or is full.
func preferOwn(req Request, candidates []Candidate) []Candidate {
	return prefer(candidates, func(c Candidate) bool { return c.DataCentre == req.DataCentre })
}

// preferUntried keeps the endpoints at which no earlier try failed if there is
// one.
func preferUntried(candidates []Candidate) []Candidate {
	return prefer(candidates, func(c Candidate) bool { return !c.Tried })
}

// prefer keeps the candidates that pass the test, or all if none does.
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
