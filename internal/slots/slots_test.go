package slots_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/config"
	"chestnutgauge/internal/platform"
	"chestnutgauge/internal/slots"
	"chestnutgauge/internal/standin"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// fixture is a table with one deployment of one model.
type fixture struct {
	faults  *standin.Faults
	config  *config.Store
	slots   *slots.Store
	changes int
}

func newFixture(t require.TestingT, limit int32, wrap func(platform.Table) platform.Table) *fixture {
	f := &fixture{faults: &standin.Faults{}}
	table := platform.Table(standin.NewTable(f.faults))
	f.config = config.NewStore(table)
	if wrap != nil {
		table = wrap(table)
	}
	f.slots = slots.NewStore(table, config.NewStore(table))
	f.setLimit(t, limit)
	return f
}

func (f *fixture) setLimit(t require.TestingT, limit int32) {
	f.changes++
	d := &pb.Deployment{
		Name:     "d",
		Services: []*pb.Service{{Name: "s", Kind: pb.ServiceKind_SERVICE_KIND_ENGINES}},
		Models:   []*pb.Model{{Name: "m", Version: "1", Services: []string{"s"}, MemoryBytes: 1, CheckpointBytes: 1, MaxReplicas: limit}},
	}
	edit := config.Edit{OperationID: fmt.Sprint("change-", f.changes), Name: "d", Deployment: d}
	if current, err := f.config.Get(context.Background(), "d"); err == nil {
		edit.Base = current.GetVersion()
	}
	_, err := f.config.Change(context.Background(), edit)
	require.NoError(t, err)
}

func (f *fixture) bind(engine string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return f.slots.Bind(ctx, "bind-"+engine, "d", "m", engine)
}

// bound returns the engines with a slot, in the order of binding, and checks
// that the index rows agree.
func (f *fixture) bound(t require.TestingT, engines []string) []string {
	bindings, err := f.slots.Read(context.Background(), "m")
	require.NoError(t, err)
	var out []string
	for _, binding := range bindings {
		out = append(out, binding.Engine)
	}
	for _, engine := range engines {
		models, err := f.slots.Bound(context.Background(), engine)
		require.NoError(t, err)
		require.Equal(t, contains(out, engine), len(models) == 1, "index of %s", engine)
	}
	return out
}

func contains(list []string, value string) bool {
	for _, element := range list {
		if element == value {
			return true
		}
	}
	return false
}

// TestSteps takes random steps with lost responses and stale reads. It checks
// that a bind never exceeds the latest limit, and that only a release frees a
// slot.
func TestSteps(t *testing.T) {
	engines := []string{"e1", "e2", "e3", "e4"}
	rapid.Check(t, func(t *rapid.T) {
		limit := int32(2)
		f := newFixture(t, limit, nil)
		var before []string
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			engine := rapid.SampledFrom(engines).Draw(t, "engine")
			switch rapid.SampledFrom([]string{"bind", "bind", "release", "limit", "lost", "stale"}).Draw(t, "step") {
			case "bind":
				err := f.bind(engine)
				now := f.bound(t, engines)
				if err == nil {
					require.Contains(t, now[:min(len(now), int(limit))], engine, "bound within the limit")
				} else {
					require.ErrorIs(t, err, slots.ErrNoSlot)
					require.Equal(t, before, now)
				}
			case "release":
				require.NoError(t, f.slots.Release(context.Background(), "release", "m", engine))
				require.NotContains(t, f.bound(t, engines), engine)
			case "limit":
				limit = int32(rapid.IntRange(0, 4).Draw(t, "limit"))
				f.setLimit(t, limit)
				require.Equal(t, before, f.bound(t, engines), "a lower limit alone frees no slot")
			case "lost":
				f.faults.Set(standin.Fault{Kind: standin.FaultTableResponseLost, Prefix: "slots/", Count: 1})
			case "stale":
				f.faults.Set(standin.Fault{Kind: standin.FaultTableStale, Prefix: "slots/", Count: 1})
				_ = f.bind(engine)
			}
			before = f.bound(t, engines)
			require.LessOrEqual(t, len(before), 4)
		}
	})
}

// barrierTable is a table that delays commits until all parties have reached
// their first commit.
type barrierTable struct {
	platform.Table
	wait *sync.WaitGroup
	once *sync.Map
}

func (b barrierTable) Commit(ctx context.Context, txn platform.Txn) (int64, error) {
	if _, again := b.once.LoadOrStore(txn.OperationID, true); !again {
		b.wait.Done()
		b.wait.Wait()
	}
	return b.Table.Commit(ctx, txn)
}

// TestLastSlot checks that only one of two controllers binds the last slot if
// both have read it as free before they commit.
func TestLastSlot(t *testing.T) {
	var wait sync.WaitGroup
	wait.Add(2)
	f := newFixture(t, 1, func(table platform.Table) platform.Table {
		return barrierTable{table, &wait, &sync.Map{}}
	})
	errs := make(chan error, 2)
	for _, engine := range []string{"e1", "e2"} {
		go func() { errs <- f.bind(engine) }()
	}
	first, second := <-errs, <-errs
	require.True(t, (first == nil) != (second == nil), "%v and %v", first, second)
	require.Len(t, f.bound(t, nil), 1)
}

// TestLimitLoweredMeanwhile checks that a bind fails if the limit is lowered
// between its read and its commit.
func TestLimitLoweredMeanwhile(t *testing.T) {
	var f *fixture
	lower := func() { f.setLimit(t, 0) }
	f = newFixture(t, 1, func(table platform.Table) platform.Table {
		return &hookedTable{Table: table, before: &lower}
	})
	require.ErrorIs(t, f.bind("e1"), slots.ErrNoSlot)
	require.Empty(t, f.bound(t, []string{"e1"}))
}

// hookedTable is a table that calls a function before its first commit.
type hookedTable struct {
	platform.Table
	before *func()
	done   bool
}

func (h *hookedTable) Commit(ctx context.Context, txn platform.Txn) (int64, error) {
	if !h.done {
		h.done = true
		(*h.before)()
	}
	return h.Table.Commit(ctx, txn)
}
