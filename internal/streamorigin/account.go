package streamorigin

import "time"

// Account is a node's history, for other nodes.
type Account struct {
	// ObservedMS is for how long the node has known all versions, in milliseconds.
	ObservedMS int64 `json:"observed_ms"`
	// ProvenMS is for how long all versions are known, including the time before the node
	// watched for which the store has proved them, in milliseconds.
	ProvenMS int64 `json:"proven_ms,omitempty"`
	// AgesMS are the times since each version was last seen, in milliseconds, by service
	// and version.
	AgesMS map[string]map[string]int64 `json:"ages_ms"`
}

// Include adds versions that have served until now.
func (a *Account) Include(origins map[Origin]bool) {
	if a.AgesMS == nil {
		a.AgesMS = map[string]map[string]int64{}
	}
	for origin := range origins {
		if a.AgesMS[origin.Service] == nil {
			a.AgesMS[origin.Service] = map[string]int64{}
		}
		a.AgesMS[origin.Service][origin.Version] = 0
	}
}

// Limit shortens the times for which all versions are known.
func (a *Account) Limit(known time.Duration) {
	a.ObservedMS = min(a.ObservedMS, known.Milliseconds())
	a.ProvenMS = min(a.ProvenMS, known.Milliseconds())
}

// Versions returns the number of versions of all services.
func (a *Account) Versions() int {
	n := 0
	for _, ages := range a.AgesMS {
		n += len(ages)
	}
	return n
}
