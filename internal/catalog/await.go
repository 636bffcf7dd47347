package catalog

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chestnutgauge/internal/monotime"
	"chestnutgauge/internal/pause"
)

// DefaultMaxAge is the default of Follower.MaxAge.
const DefaultMaxAge = 2 * time.Second

// Timing of the questions for a confirmation.
const (
	// askShare is the share of the age limit from which on other nodes are asked. What is left is the
	// time in which a confirmation has to spread from the nodes that the store answers.
	askShare = 0.6
	// askInterval is the time between two questions, minAskGap the shortest one: requests that wait
	// don't make it shorter.
	askInterval = 100 * time.Millisecond
	minAskGap   = 90 * time.Millisecond
	// askPatience is how long a process asks in vain before it takes it that no confirmation can be
	// had now.
	askPatience = 700 * time.Millisecond
	// maxAskGap is the time between two questions after which the process counts as suspended
	// meanwhile: what it asked before says nothing of what can be had now.
	maxAskGap = 5 * askInterval
)

var (
	awaitedConfirmed   = metrics.NewCounter(`chestnut_config_awaited_total{result="confirmed"}`)
	awaitedUnavailable = metrics.NewCounter(`chestnut_config_awaited_total{result="unavailable"}`)
	awaitedInVain      = metrics.NewCounter(`chestnut_config_awaited_total{result="timeout"}`)
)

// asking is the state of the questions for a confirmation. The zero value has asked nothing.
type asking struct {
	// since is when the process began to ask without a pause, last is when it last asked.
	since, last monotime.Mark
	// logged means that it was logged that no confirmation can be had. Only Follower.ask uses it.
	logged bool

	mu sync.Mutex
	// progress is closed after the next question and at the next answer.
	progress chan struct{}
}

// watch returns a channel that is closed after the next question and at the next answer.
func (a *asking) watch() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.progress == nil {
		a.progress = make(chan struct{})
	}
	return a.progress
}

// advance wakes those that watch.
func (a *asking) advance() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.progress != nil {
		close(a.progress)
		a.progress = nil
	}
}

// begin records a question, and reports whether it is the first one after a pause.
func (a *asking) begin(now time.Duration) (first bool) {
	gap, asked := a.last.Age(now)
	a.last.Set(now)
	if asked && gap <= maxAskGap {
		return a.since.SetFirst(now)
	}
	a.since.Set(now)
	return true
}

// restart records that an answer was of use, so that the process has not asked in vain.
func (a *asking) restart(now time.Duration) {
	if _, asking := a.since.Age(now); asking {
		a.since.Set(now)
	}
}

// end records that a confirmation was had.
func (a *asking) end() {
	a.since.Clear()
}

// duration returns for how long the process has asked without a pause.
func (a *asking) duration(now time.Duration) time.Duration {
	gap, asked := a.last.Age(now)
	since, asking := a.since.Age(now)
	if !asked || !asking || gap > maxAskGap {
		return 0
	}
	return since
}

// Basis returns what a decision that is made now rests on. The age is read before the configuration,
// which is at least as new.
func (f *Follower) Basis() Basis {
	age, source := f.confirmed()
	b := Basis{Age: age, Source: source, Catalog: f.Get()}
	b.Recent = source != SourceNone && age <= f.MaxAge()
	limit, limited := f.keyLimit()
	b.KeysRecent = !limited || source != SourceNone && age <= limit
	if !b.Recent {
		b.Asked = f.asking.duration(f.clock())
	}
	return b
}

// keyLimit returns the age up to which keys are accepted, or false if there is no limit.
func (f *Follower) keyLimit() (time.Duration, bool) {
	if f.MaxKeyAge == nil {
		return 0, false
	}
	return f.MaxKeyAge()
}

// Await returns the basis of a decision on a request. It waits while the configuration in force is not
// known to be recent, for as long as the store or another node may confirm it or have a newer one. If
// the process has asked in vain for a time, the basis is what is known. The only error is that of the
// context.
func (f *Follower) Await(ctx context.Context) (Basis, error) {
	b := f.Basis()
	if b.Recent || b.Catalog == nil {
		return b, nil
	}
	for {
		progress := f.asking.watch()
		switch b = f.Basis(); {
		case b.Recent:
			awaitedConfirmed.Inc()
			return b, nil
		case b.Asked >= askPatience:
			awaitedUnavailable.Inc()
			return b, nil
		}
		f.wake()
		select {
		case <-progress:
		case <-ctx.Done():
			awaitedInVain.Inc()
			return b, ctx.Err()
		}
	}
}

// wake has the process ask at once.
func (f *Follower) wake() {
	select {
	case f.urgent <- struct{}{}:
	default:
	}
}

// ask asks other nodes, and after a pause the store, for a confirmation until ctx ends, while the last
// one is not recent.
func (f *Follower) ask(ctx context.Context) error {
	for pause.Until(ctx, f.urgent, askInterval) {
		now := f.clock()
		if gap, asked := f.asking.last.Age(now); asked && gap < minAskGap {
			continue
		}
		age, source := f.confirmed()
		if f.Get() == nil || source != SourceNone && age <= f.share(askShare) {
			f.asking.end()
			f.logConfirmed()
			continue
		}
		if f.asking.begin(now) && age > f.MaxAge() {
			go f.readStore(ctx, now-f.MaxAge())
		}
		if f.AskOthers != nil {
			go f.AskOthers(ctx, f.Version(), f.receive)
		}
		f.logUnconfirmed(age)
		f.asking.advance()
	}
	return ctx.Err()
}

// readStore has the store read at once until what is known is at least as new as at a time since.
func (f *Follower) readStore(ctx context.Context, since time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	// Whether the store was read shows in the age of the confirmation.
	_ = f.feed.Await(ctx, since)
	f.asking.advance()
}

// logUnconfirmed logs once that no confirmation can be had.
func (f *Follower) logUnconfirmed(age time.Duration) {
	asked := f.asking.duration(f.clock())
	if f.asking.logged || asked < askPatience || age <= f.MaxAge() {
		return
	}
	f.asking.logged = true
	f.log.Warn("configuration not confirmed", "config_version", f.Version(), "age_ms", age.Milliseconds(),
		"asked_ms", asked.Milliseconds(), "store_unavailable", f.feed.Unavailable())
}

// logConfirmed logs the end of what logUnconfirmed has logged.
func (f *Follower) logConfirmed() {
	if !f.asking.logged {
		return
	}
	f.asking.logged = false
	age, source := f.confirmed()
	f.log.Info("configuration confirmed again", "config_version", f.Version(), "age_ms", age.Milliseconds(), "confirmed_by", string(source))
}

// told is the latest confirmation by another node of a version that is not in force here.
type told struct {
	version int64
	at      time.Duration
}

// receive uses the answer of another node.
func (f *Follower) receive(c Copy) {
	f.UseCopy(c)
	if f.Version() < c.Version {
		f.logBehind(c.Version)
		f.mu.Lock()
		f.told = told{c.Version, c.ConfirmedAt}
		f.mu.Unlock()
	}
	f.confirmNode(c.Version, c.ConfirmedAt)
}

// confirmNode records the confirmation of another node and wakes those that wait for one.
func (f *Follower) confirmNode(version int64, at time.Duration) {
	if f.confirm(SourceNode, version, at) && f.Basis().Recent {
		f.asking.restart(f.clock())
	}
	f.asking.advance()
}

// confirmTold uses the confirmation by another node of the version that has come into force.
func (f *Follower) confirmTold() {
	f.mu.Lock()
	told := f.told
	f.mu.Unlock()
	if told.version == f.Version() {
		f.confirmNode(told.version, told.at)
	}
}

// UseCopy activates the version that another node has in force if it is newer, or has it fetched. It confirms
// nothing. A copy that can't be used is a reason to read the store.
func (f *Follower) UseCopy(c Copy) {
	if c.Version <= f.Version() || c.Offer != nil && f.addSource(c.Node, c) || f.use(c) == nil || f.addSource(c.Node, c) {
		return
	}
	f.NotifyVersion(c.Version)
}

// CopyFor returns what this node knows of the configuration for another one that has a version in
// force and takes a form of rows, and the age of its confirmation. ok is false if it knows nothing.
func (f *Follower) CopyFor(version int64, form Form) (c Copy, age time.Duration, ok bool) {
	// The age is read first: what is known then is at least as new.
	age, known := f.ConfirmedAge()
	c = f.rows.since(version, form)
	return c, age, known && c.Version > 0
}

// Encoding returns the encoding that was offered of a version, or nil if it can't be made any more.
func (f *Follower) Encoding(version, base int64) []byte {
	return f.rows.encoding(version, base)
}
