package retrybudget

import (
	"sync"
	"time"
)

// askInterval is the longest time between two asks of a process to the same owner, which may have
// lost what it knew. It is well below the time for which a new owner grants nothing.
const askInterval = 5 * time.Second

// usePeriods is the number of periods in a window for which the retries of a service are counted.
const usePeriods = 10

// Part is what one process holds of the additional retries. It is the same for each service: a
// service may use all of it. Its methods are safe for concurrent use.
type Part struct {
	process string
	window  time.Duration

	mu sync.Mutex
	// granted is what an owner has granted, assumed what the process holds in place of it while
	// the owner grants none, as earlier versions do.
	granted, assumed float64
	// cooling is what services may have used of a larger part.
	cooling lots
	// used are the retries of each service.
	used map[string]*uses
	// answeredAt is when the last report that was answered was sent, askedAt the last with an ask.
	answeredAt time.Duration
	askedAt    time.Duration
	// asked is what the owner takes the process to hold, askedOf that owner.
	asked   Ask
	askedOf string
}

// NewPart returns the empty part of a process, for additional retries per window.
func NewPart(process string, window time.Duration) *Part {
	return &Part{process: process, window: window, used: map[string]*uses{}}
}

// Held returns the retries that a service may have saved up, with a base that needs no part, and
// those of them that it has without having earned them by requests.
func (p *Part) Held(base float64, now time.Duration) (limit, granted float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lapse(now)
	return base + max(p.granted, p.assumed), p.granted
}

// Used records a retry of a service.
func (p *Part) Used(service string, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.used[service]
	if u == nil {
		u = &uses{}
		p.used[service] = u
	}
	u.add(now, p.period())
}

// Ask returns what is to be asked of an owner now, or nil.
func (p *Part) Ask(owner string, now time.Duration) *Ask {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lapse(now)
	ask := Ask{Process: p.process, Part: max(p.granted, p.assumed), Cooling: p.cooling.sum(now)}
	if owner == p.askedOf && ask == p.asked && now-p.askedAt < askInterval {
		return nil
	}
	return &ask
}

// Report is a report to an owner that was answered.
type Report struct {
	Owner string
	// Ask was asked with the report, Answer is what the owner grants. Either may be nil.
	Ask    *Ask
	Answer *Answer
	// SentAt is when the report was sent.
	SentAt time.Duration
}

// Answered records that an owner has answered a report. An owner that answers no ask grants no
// parts: the process then takes a share of total among a number of nodes, in which it saves only
// what requests have earned.
func (p *Part) Answered(report Report, total float64, nodes int, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	notOwner := report.Answer != nil && report.Answer.NotOwner
	if notOwner || report.Ask == nil && report.Owner != p.askedOf {
		return
	}
	p.answeredAt, p.askedOf = report.SentAt, report.Owner
	if report.Ask != nil {
		p.asked, p.askedAt = *report.Ask, report.SentAt
	}
	switch {
	case report.Answer != nil:
		p.assumed = 0
		p.set(report.Answer.Part, now)
		// Of a smaller part the owner is told with the next report.
		p.asked.Part = max(p.asked.Part, report.Answer.Part)
	case report.Ask != nil:
		p.assumed = total/float64(max(1, nodes)) - Base(total, nodes)
	}
}

// lapse drops a part that no owner has confirmed for Lifetime. The caller holds mu.
func (p *Part) lapse(now time.Duration) {
	if p.granted > 0 && now-p.answeredAt > Lifetime {
		p.set(0, now)
	}
}

// set changes the part that was granted. Of a smaller one, what a service may have used within the
// window stays held for as long. The caller holds mu.
func (p *Part) set(part float64, now time.Duration) {
	if less := p.granted - part; less > 0 {
		p.cooling.add(min(less, p.maxUsed(now)), now+p.window)
	}
	p.granted = part
}

// maxUsed returns the most retries of one service within the window. The caller holds mu.
func (p *Part) maxUsed(now time.Duration) float64 {
	most := 0.0
	for _, u := range p.used {
		most = max(most, u.sum(now, p.period()))
	}
	return most
}

func (p *Part) period() time.Duration {
	return p.window / usePeriods
}

// uses counts the retries of a service in periods of the window.
type uses struct {
	counts [usePeriods + 1]float64
	// last is the number of the last period counted.
	last int64
}

// advance moves on to the period of a time.
func (u *uses) advance(now, period time.Duration) {
	number := int64(now / period)
	for skipped := min(number-u.last, int64(len(u.counts))); skipped > 0; skipped-- {
		u.counts[(number-skipped+1)%int64(len(u.counts))] = 0
	}
	u.last = max(u.last, number)
}

func (u *uses) add(now, period time.Duration) {
	u.advance(now, period)
	u.counts[u.last%int64(len(u.counts))]++
}

// sum returns the retries within the window, and of up to a period before.
func (u *uses) sum(now, period time.Duration) float64 {
	u.advance(now, period)
	total := 0.0
	for _, n := range u.counts {
		total += n
	}
	return total
}
