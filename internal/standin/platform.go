package standin

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/platform"
)

// Table is an in-memory platform.Table.
type Table struct {
	faults *Faults

	mu       sync.Mutex
	rows     map[string]platform.Row
	previous map[string]platform.Row
	commits  int64
	reads    int64
	writes   int64
}

// NewTable returns an empty table.
func NewTable(faults *Faults) *Table {
	return &Table{
		faults:   faults,
		rows:     map[string]platform.Row{},
		previous: map[string]platform.Row{},
	}
}

// Requests returns the number of reads and commits so far.
func (t *Table) Requests() (reads, commits int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}

// Get implements platform.Table.
func (t *Table) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := t.enter(ctx); err != nil {
		return platform.Row{}, err
	}
	_, stale := t.faults.strike(FaultTableStale, func(f Fault) bool { return strings.HasPrefix(key, f.Prefix) })
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	rows := t.rows
	if stale {
		rows = t.previous
	}
	row, ok := rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

// Scan implements platform.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := t.enter(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	out := []platform.Row{}
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if len(out) == limit {
			break
		}
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, t.rows[key])
		}
	}
	return out, nil
}

// Commit implements platform.Table.
func (t *Table) Commit(ctx context.Context, txn platform.Txn) (int64, error) {
	if err := t.enter(ctx); err != nil {
		return 0, err
	}
	version, err := t.apply(txn)
	if err != nil {
		return 0, err
	}
	if _, lost := t.faults.strike(FaultTableLost, func(f Fault) bool { return writesPrefix(txn, f.Prefix) }); lost {
		return 0, platform.ErrUnknown
	}
	return version, nil
}

func writesPrefix(txn platform.Txn, prefix string) bool {
	return slices.ContainsFunc(txn.Writes, func(w platform.Write) bool {
		return strings.HasPrefix(w.Key, prefix)
	})
}

func (t *Table) apply(txn platform.Txn) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	var conflicts []string
	for _, guard := range txn.Guards {
		if t.rows[guard.Key].Version != guard.Version {
			conflicts = append(conflicts, guard.Key)
		}
	}
	if len(conflicts) > 0 {
		return 0, &platform.ConflictError{Keys: conflicts}
	}
	t.commits++
	for _, write := range txn.Writes {
		t.write(write, txn.OperationID)
	}
	return t.commits, nil
}

func (t *Table) write(write platform.Write, operation string) {
	if before, ok := t.rows[write.Key]; ok {
		t.previous[write.Key] = before
	}
	if write.Delete {
		delete(t.rows, write.Key)
		return
	}
	t.rows[write.Key] = platform.Row{
		Key:         write.Key,
		Value:       write.Value,
		Version:     t.commits,
		OperationID: operation,
	}
}

// enter applies the faults that strike before a call takes effect.
func (t *Table) enter(ctx context.Context) error {
	if d := t.faults.delay(FaultTableSlow, ""); d > 0 {
		if !pause.For(ctx, d) {
			return platform.ErrUnavailable
		}
	}
	if t.faults.down() {
		return platform.ErrUnavailable
	}
	return ctx.Err()
}

func (f *Faults) down() bool {
	_, down := f.at(FaultTableDown, "")
	return down
}

// Objects is an in-memory platform.Objects.
type Objects struct {
	faults *Faults

	mu   sync.Mutex
	data map[string][]byte
}

// NewObjects returns an empty object store.
func NewObjects(faults *Faults) *Objects {
	return &Objects{faults: faults, data: map[string][]byte{}}
}

// Put implements platform.Objects.
func (o *Objects) Put(_ context.Context, key string, data []byte) error {
	if o.faults.down() {
		return platform.ErrUnavailable
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data[key] = slices.Clone(data)
	return nil
}

// Get implements platform.Objects.
func (o *Objects) Get(_ context.Context, key string) ([]byte, error) {
	if o.faults.down() {
		return nil, platform.ErrUnavailable
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.data[key]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return slices.Clone(data), nil
}

// Delete implements platform.Objects.
func (o *Objects) Delete(_ context.Context, key string) error {
	if o.faults.down() {
		return platform.ErrUnavailable
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.data, key)
	return nil
}

// Count returns the number of objects.
func (o *Objects) Count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.data)
}

// Weights is the weight store: it says how long a load takes.
type Weights struct {
	limits platform.WeightLimits
	// bytesPerSecond is the speed of one load while no more than the limit
	// run.
	bytesPerSecond float64
	adapterTime    time.Duration
	faults         *Faults

	mu       sync.Mutex
	loads    int
	adapters int
}

// NewWeights returns a weight store.
func NewWeights(limits platform.WeightLimits, bytesPerSecond float64, adapterTime time.Duration, faults *Faults) *Weights {
	return &Weights{limits: limits, bytesPerSecond: bytesPerSecond, adapterTime: adapterTime, faults: faults}
}

// Limits implements platform.Weights.
func (w *Weights) Limits(context.Context) (platform.WeightLimits, error) {
	return w.limits, nil
}

// weightStep is the longest time that a load runs at one speed before the
// number of loads is looked at again.
const weightStep = 50 * time.Millisecond

// fetch waits for as long as fetching a checkpoint takes.
func (w *Weights) fetch(ctx context.Context, bytes int64) bool {
	w.mu.Lock()
	w.loads++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.loads--
		w.mu.Unlock()
	}()
	for left := float64(bytes); left > 0; {
		speed := w.speed()
		step := min(weightStep, time.Duration(left/speed*float64(time.Second))+time.Microsecond)
		if !pause.For(ctx, step) {
			return false
		}
		left -= speed * step.Seconds()
	}
	return true
}

// speed returns the speed of each load now, in bytes a second.
func (w *Weights) speed() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	speed := w.bytesPerSecond
	if w.loads > w.limits.FullSpeedLoads {
		speed *= float64(w.limits.FullSpeedLoads) / float64(w.loads)
	}
	if fault, ok := w.faults.at(FaultWeightsSlow, ""); ok && fault.Factor > 1 {
		speed /= fault.Factor
	}
	return speed
}

// fetchAdapter waits for as long as fetching an adapter takes.
func (w *Weights) fetchAdapter(ctx context.Context) bool {
	w.mu.Lock()
	w.adapters++
	d := w.adapterTime
	if w.adapters > w.limits.AdaptersInTransit {
		d = d * time.Duration(w.adapters) / time.Duration(w.limits.AdaptersInTransit)
	}
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.adapters--
		w.mu.Unlock()
	}()
	return pause.For(ctx, d)
}

// Membership is a membership list that lags behind its changes.
type Membership struct {
	lag    time.Duration
	faults *Faults

	mu      sync.Mutex
	current []platform.VM
	history []membershipView
}

type membershipView struct {
	at  time.Time
	vms []platform.VM
}

// NewMembership returns a list of vms that shows changes after lag.
func NewMembership(vms []platform.VM, lag time.Duration, faults *Faults) *Membership {
	return &Membership{
		lag:     lag,
		faults:  faults,
		current: vms,
		history: []membershipView{{vms: slices.Clone(vms)}},
	}
}

// List implements platform.Membership.
func (m *Membership) List(context.Context) ([]platform.VM, error) {
	if m.faults.down() {
		return nil, platform.ErrUnavailable
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	shown := m.history[0].vms
	for _, view := range m.history {
		if time.Since(view.at) >= m.lag {
			shown = view.vms
		}
	}
	return slices.Clone(shown), nil
}

// Update changes the VM called id, or removes it if change returns false.
func (m *Membership) Update(id string, change func(*platform.VM) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var next []platform.VM
	for _, vm := range m.current {
		if vm.ID != id || change(&vm) {
			next = append(next, vm)
		}
	}
	m.current = next
	m.history = append(m.history, membershipView{at: time.Now(), vms: slices.Clone(next)})
}

// Add adds a VM.
func (m *Membership) Add(vm platform.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current = append(slices.Clone(m.current), vm)
	m.history = append(m.history, membershipView{at: time.Now(), vms: slices.Clone(m.current)})
}
