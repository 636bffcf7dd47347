package heartbeat

import (
	"time"

	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/peer/peerpb"
)

// toProto converts evidence to messages. Times become ages, because the clocks
// of VMs differ.
func toProto(evidence []membership.Evidence, now time.Time) []*peerpb.Evidence {
	var out []*peerpb.Evidence
	for _, e := range evidence {
		out = append(out, &peerpb.Evidence{
			Member:   e.Member,
			Reporter: e.Reporter,
			Sequence: e.Sequence,
			AgeMs:    now.Sub(e.At).Milliseconds(),
			Answered: e.Answered,
		})
	}
	return out
}

func fromProto(evidence []*peerpb.Evidence, now time.Time) []membership.Evidence {
	var out []membership.Evidence
	for _, e := range evidence {
		out = append(out, membership.Evidence{
			Member:   e.GetMember(),
			Reporter: e.GetReporter(),
			Sequence: e.GetSequence(),
			At:       now.Add(-time.Duration(e.GetAgeMs()) * time.Millisecond),
			Answered: e.GetAnswered(),
		})
	}
	return out
}

// toKnown converts members to messages, with the time since each was last seen.
func toKnown(members []membership.Member, lastSeen func(membership.Member) time.Time, now time.Time) []*peerpb.KnownMember {
	out := make([]*peerpb.KnownMember, len(members))
	for i, m := range members {
		out[i] = &peerpb.KnownMember{
			Vm:         m.VM,
			Role:       string(m.Role),
			Region:     m.Region,
			DataCentre: m.DataCentre,
			Address:    m.Address,
			AgeMs:      now.Sub(lastSeen(m)).Milliseconds(),
		}
	}
	return out
}

func fromKnown(k *peerpb.KnownMember) membership.Member {
	return membership.Member{
		VM:         k.GetVm(),
		Role:       membership.Role(k.GetRole()),
		Region:     k.GetRegion(),
		DataCentre: k.GetDataCentre(),
		Address:    k.GetAddress(),
	}
}
