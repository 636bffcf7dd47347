package config

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/platform"
	"chestnutgauge/internal/standin"
)

func deployment(name string, replicas int32) *pb.Deployment {
	return &pb.Deployment{
		Name:      name,
		Services:  []*pb.Service{{Name: name + "-engines", Kind: pb.ServiceKind_SERVICE_KIND_ENGINES}},
		Endpoints: []*pb.Endpoint{{Name: name + "-1", Service: name + "-engines", Address: "127.0.0.1:1", DataCentre: "a"}},
		Models:    []*pb.Model{{Name: name + "-model", Services: []string{name + "-engines"}, MemoryBytes: 1, MaxReplicas: replicas}},
	}
}

func create(operation, name string) Edit {
	return Edit{OperationID: operation, Name: name, Deployment: deployment(name, 1)}
}

func update(operation, name string, replicas int32, base int64) Edit {
	return Edit{OperationID: operation, Name: name, Deployment: deployment(name, replicas), Base: base}
}

// killTable cancels its caller's context at the n-th call, before the call takes
// effect or, with effect set, after.
type killTable struct {
	platform.Table
	n      int
	effect bool
	kill   context.CancelFunc
}

// fails counts a call and reports whether it is the n-th, which fails.
func (k *killTable) fails() bool {
	k.n--
	if k.n == 0 {
		k.kill()
	}
	return k.n == 0
}

func (k *killTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if k.fails() {
		return platform.Row{}, platform.ErrUnavailable
	}
	return k.Table.Get(ctx, key)
}

func (k *killTable) Commit(ctx context.Context, txn platform.Txn) (int64, error) {
	if !k.fails() {
		return k.Table.Commit(ctx, txn)
	}
	if k.effect {
		_, _ = k.Table.Commit(context.Background(), txn)
	}
	return 0, platform.ErrUnknown
}

// TestKilledInEveryStep kills the admin at each of its calls to the table. A
// retry of the operation at another admin must make the change exactly once.
func TestKilledInEveryStep(t *testing.T) {
	operations := map[string]func(ctx context.Context, s *Store) (*pb.DeploymentChange, error){
		"create": func(ctx context.Context, s *Store) (*pb.DeploymentChange, error) {
			return s.Change(ctx, create("op", "b"))
		},
		"update": func(ctx context.Context, s *Store) (*pb.DeploymentChange, error) {
			return s.Change(ctx, update("op", "a", 5, 1))
		},
		"delete": func(ctx context.Context, s *Store) (*pb.DeploymentChange, error) {
			return s.Change(ctx, Edit{OperationID: "op", Name: "a", Base: 1})
		},
		"drain": func(ctx context.Context, s *Store) (*pb.DeploymentChange, error) {
			return s.Drain(ctx, "op", Drain{Endpoint: "a-1", Drained: true})
		},
	}
	for name, operation := range operations {
		for _, effect := range []bool{false, true} {
			for step := 1; step <= 12; step++ {
				t.Run(fmt.Sprintf("%s/step %d/effect %t", name, step, effect), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { killedAt(t, operation, step, effect) })
				})
			}
		}
	}
}

func killedAt(t *testing.T, operation func(context.Context, *Store) (*pb.DeploymentChange, error), step int, effect bool) {
	table := standin.NewTable(&standin.Faults{})
	healthy := NewStore(table)
	_, err := healthy.Change(t.Context(), create("first", "a"))
	require.NoError(t, err)
	ctx, kill := context.WithCancel(t.Context())
	defer kill()
	_, _ = operation(ctx, NewStore(&killTable{table, step, effect, kill}))
	first, err := operation(t.Context(), healthy)
	require.NoError(t, err)
	require.EqualValues(t, 2, first.GetVersion())
	again, err := operation(t.Context(), healthy)
	require.NoError(t, err)
	require.True(t, proto.Equal(first, again), "a further retry returns the first result")
	loaded, err := healthy.Load(t.Context())
	require.NoError(t, err)
	require.EqualValues(t, 2, loaded.Version)
}

// TestChange checks the results of edits, also with faults of the table.
func TestChange(t *testing.T) {
	lost := standin.Fault{Kind: standin.FaultTableResponseLost, Count: 1}
	stale := func(prefix string) standin.Fault {
		return standin.Fault{Kind: standin.FaultTableStale, Prefix: prefix, Count: 2}
	}
	conflict := &VersionConflictError{Current: 2}
	cases := []struct {
		name  string
		fault *standin.Fault
		edit  Edit
		want  error
		at    int64
	}{
		{"create", nil, create("op", "b"), nil, 3},
		{"create, response lost", &lost, create("op", "b"), nil, 3},
		{"create an existing deployment", nil, create("op", "a"), ErrExists, 0},
		{"update", nil, update("op", "a", 9, 2), nil, 3},
		{"update, response lost", &lost, update("op", "a", 9, 2), nil, 3},
		{"update from an outdated version", nil, update("op", "a", 9, 1), conflict, 0},
		{"update of a missing deployment", nil, update("op", "c", 9, 1), ErrNotFound, 0},
		{"update, stale read of the deployment", ptr(stale("config/deployment/")), update("op", "a", 9, 2), nil, 3},
		{"update, stale read of the head", ptr(stale("config/head")), update("op", "a", 9, 2), nil, 3},
		{"create, stale read of a name", ptr(stale("config/name/")), create("op", "b"), nil, 3},
		{"repeat", nil, update("second", "a", 2, 1), nil, 2},
		{"repeat, stale read of the operation", ptr(stale("config/operation/")), update("second", "a", 2, 1), nil, 2},
		{"repeat with other content", nil, update("second", "a", 3, 1), ErrOperationReused, 0},
		{"repeat from another base", nil, update("second", "a", 2, 2), ErrOperationReused, 0},
		{"repeat as a deletion", nil, Edit{OperationID: "second", Name: "a", Base: 1}, ErrOperationReused, 0},
		{"delete", nil, Edit{OperationID: "op", Name: "a", Base: 2}, nil, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				faults := &standin.Faults{}
				store := NewStore(standin.NewTable(faults))
				_, err := store.Change(t.Context(), create("first", "a"))
				require.NoError(t, err)
				_, err = store.Change(t.Context(), update("second", "a", 2, 1))
				require.NoError(t, err)
				if c.fault != nil {
					faults.Set(*c.fault)
				}
				change, err := store.Change(t.Context(), c.edit)
				if c.want != nil {
					require.Equal(t, c.want, err)
					return
				}
				require.NoError(t, err)
				require.Equal(t, c.at, change.GetVersion())
			})
		})
	}
}

func ptr[T any](value T) *T { return &value }

// TestTrimmedLog checks that the log and operation rows stay bounded, that a
// node behind the log can load a snapshot, and that a repeated operation within
// the retained part returns its first result.
func TestTrimmedLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable(&standin.Faults{})
		store := NewStore(table)
		store.retained = 8
		base := int64(0)
		for i := range 40 {
			change, err := store.Change(t.Context(), update(fmt.Sprintf("op-%d", i), "a", int32(i), base))
			require.NoError(t, err)
			base = change.GetVersion()
		}
		for _, prefix := range []string{logPrefix, operationPrefix} {
			rows, err := table.Scan(t.Context(), prefix, "", 1000)
			require.NoError(t, err)
			require.Len(t, rows, 8, prefix)
		}
		_, err := store.ChangesAfter(t.Context(), 3)
		require.ErrorIs(t, err, ErrTrimmed)
		loaded, err := store.Load(t.Context())
		require.NoError(t, err)
		require.EqualValues(t, 40, loaded.Version)
		again, err := store.Change(t.Context(), update("op-35", "a", 35, 35))
		require.NoError(t, err)
		require.EqualValues(t, 36, again.GetVersion())
	})
}

// changingTable calls change before and after each scan.
type changingTable struct {
	platform.Table
	change func()
}

func (c *changingTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	c.change()
	rows, err := c.Table.Scan(ctx, prefix, after, limit)
	c.change()
	return rows, err
}

// TestSnapshotWhileChanging loads a snapshot while deployments are changed,
// deleted and created between its reads.
func TestSnapshotWhileChanging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable(&standin.Faults{})
		store := NewStore(table)
		reference := map[int64]uint64{}
		newest := Empty()
		apply := func(edit Edit) {
			change, err := store.Change(t.Context(), edit)
			require.NoError(t, err)
			newest = newest.Apply(change)
			reference[newest.Version] = newest.Digest
		}
		for i := range 70 {
			apply(create(fmt.Sprintf("create-%d", i), fmt.Sprintf("d%02d", i)))
		}
		edits := []Edit{
			update("u", "d03", 4, 4), {OperationID: "d", Name: "d05", Base: 6},
			create("c", "d99"), update("u2", "d69", 4, 70), create("c2", "a00"),
		}
		changing := &changingTable{Table: table, change: func() {
			if len(edits) > 0 {
				apply(edits[0])
				edits = edits[1:]
			}
		}}
		loaded, err := NewStore(changing).Load(t.Context())
		require.NoError(t, err)
		require.Empty(t, edits)
		require.Equal(t, reference[loaded.Version], loaded.Digest)
	})
}

// staleScanTable omits the last row from its first scan, like a stale read.
type staleScanTable struct {
	platform.Table
	scans int
}

func (s *staleScanTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	rows, err := s.Table.Scan(ctx, prefix, after, limit)
	if s.scans++; s.scans == 1 {
		rows = rows[:len(rows)-1]
	}
	return rows, err
}

// TestSnapshotFromStaleRead loads a snapshot from a table whose first scan is
// older than its head.
func TestSnapshotFromStaleRead(t *testing.T) {
	store := NewStore(standin.NewTable(&standin.Faults{}))
	_, snapshots := makeChanges(t, store, 4)
	loaded, err := NewStore(&staleScanTable{Table: store.table}).Load(t.Context())
	require.NoError(t, err)
	require.Equal(t, snapshots[4].Digest, loaded.Digest)
	require.Len(t, loaded.Deployments(), 4)
}

// TestDrain checks that a repeated drain returns the first result, also after
// the endpoint has been put back into service.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore(standin.NewTable(&standin.Faults{}))
		_, err := store.Change(t.Context(), create("first", "a"))
		require.NoError(t, err)
		drained, err := store.Drain(t.Context(), "op", Drain{"a-1", true})
		require.NoError(t, err)
		require.True(t, drained.GetDeployment().GetEndpoints()[0].GetDrained())
		_, err = store.Drain(t.Context(), "op2", Drain{"a-1", false})
		require.NoError(t, err)
		again, err := store.Drain(t.Context(), "op", Drain{"a-1", true})
		require.NoError(t, err)
		require.True(t, proto.Equal(drained, again))
		_, err = store.Drain(t.Context(), "op", Drain{"a-1", false})
		require.ErrorIs(t, err, ErrOperationReused)
		_, err = store.Drain(t.Context(), "op3", Drain{"nowhere", true})
		require.ErrorIs(t, err, ErrNotFound)
	})
}
