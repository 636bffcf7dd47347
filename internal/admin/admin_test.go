package admin_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/standin"
	"chestnutgauge/internal/testsystem"
)

func deployment(replicas int32) *pb.Deployment {
	return &pb.Deployment{
		Name:     "showroom",
		Services: []*pb.Service{{Name: "assistants", Kind: pb.ServiceKind_SERVICE_KIND_ENGINES}},
		Endpoints: []*pb.Endpoint{
			{Name: "e1", Service: "assistants", Address: "e1:1", DataCentre: "a", ChecksFences: true},
		},
		Models: []*pb.Model{{Name: "assistant", Services: []string{"assistants"}, MemoryBytes: 1, MaxReplicas: replicas}},
	}
}

// withSystem runs a test with an admin and a deployment at version 1.
func withSystem(t *testing.T, run func(t *testing.T, s *testsystem.System, client pb.OperatorsClient)) {
	synctest.Test(t, func(t *testing.T) {
		settings := standin.Defaults()
		settings.Engines = []standin.EngineEntry{testsystem.EngineEntry("e1", 100, true)}
		system := testsystem.New(t, settings, map[string]string{"vm-a": "a", "vm-b": "b"})
		client := system.StartAdmin("vm-a", "a")
		time.Sleep(3 * time.Second)
		_, err := client.CreateDeployment(t.Context(), &pb.CreateDeploymentRequest{Deployment: deployment(1), OperationId: "create"})
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		run(t, system, client)
	})
}

// TestChanges checks the codes and details of the calls that make changes.
func TestChanges(t *testing.T) {
	updated := func(version int64, replicas int32) *pb.Deployment {
		d := deployment(replicas)
		d.Version = version
		return d
	}
	update := func(operation string, version int64, replicas int32) func(context.Context, pb.OperatorsClient) (*pb.ChangeResponse, error) {
		return func(ctx context.Context, c pb.OperatorsClient) (*pb.ChangeResponse, error) {
			return c.UpdateDeployment(ctx, &pb.UpdateDeploymentRequest{Deployment: updated(version, replicas), OperationId: operation})
		}
	}
	create := func(operation string, d *pb.Deployment, dryRun bool) func(context.Context, pb.OperatorsClient) (*pb.ChangeResponse, error) {
		return func(ctx context.Context, c pb.OperatorsClient) (*pb.ChangeResponse, error) {
			return c.CreateDeployment(ctx, &pb.CreateDeploymentRequest{Deployment: d, OperationId: operation, DryRun: dryRun})
		}
	}
	drain := func(operation, endpoint string, drained bool) func(context.Context, pb.OperatorsClient) (*pb.ChangeResponse, error) {
		return func(ctx context.Context, c pb.OperatorsClient) (*pb.ChangeResponse, error) {
			return c.DrainEndpoint(ctx, &pb.DrainEndpointRequest{Endpoint: endpoint, Drained: drained, OperationId: operation})
		}
	}
	other := deployment(1)
	other.Name = "other"
	bad := deployment(-1)
	bad.Name = "bad"
	down := &standin.Fault{Kind: standin.FaultTableDown}
	lost := &standin.Fault{Kind: standin.FaultTableResponseLost, Count: 1}
	cases := []struct {
		name  string
		fault *standin.Fault
		call  func(context.Context, pb.OperatorsClient) (*pb.ChangeResponse, error)
		code  codes.Code
		field string
		// version is that of the response, or the current one after a conflict.
		version int64
	}{
		{"update", nil, update("op", 1, 2), codes.OK, "", 2},
		{"update, response lost", lost, update("op", 1, 2), codes.OK, "", 2},
		{"update from an old version", nil, update("op", 9, 2), codes.Aborted, "", 1},
		{"update without a version", nil, update("op", 0, 2), codes.InvalidArgument, "deployment.version", 0},
		{"update, table down", down, update("op", 1, 2), codes.Unavailable, "", 0},
		{"no operation id", nil, update("", 1, 2), codes.InvalidArgument, "operation_id", 0},
		{"repeat", nil, create("create", deployment(1), false), codes.OK, "", 1},
		{"repeat with other content", nil, create("create", deployment(5), false), codes.InvalidArgument, "operation_id", 0},
		{"create an existing deployment", nil, create("op", deployment(1), false), codes.AlreadyExists, "", 0},
		{"a name that another deployment uses", nil, create("op", other, false), codes.InvalidArgument, "services[0].name", 0},
		{"an invalid field", nil, create("op", bad, false), codes.InvalidArgument, "models[0].max_replicas", 0},
		{"a dry run", nil, create("", bad, true), codes.InvalidArgument, "models[0].max_replicas", 0},
		{"drain", nil, drain("op", "e1", true), codes.OK, "", 2},
		{"drain an unknown endpoint", nil, drain("op", "e9", true), codes.NotFound, "", 0},
		{"drain with another call's operation id", nil, drain("create", "e1", true), codes.InvalidArgument, "operation_id", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withSystem(t, func(t *testing.T, s *testsystem.System, client pb.OperatorsClient) {
				if c.fault != nil {
					s.StandIn.Faults.Set(*c.fault)
				}
				resp, err := c.call(t.Context(), client)
				require.Equal(t, c.code, status.Code(err), "%v", err)
				if c.code == codes.OK {
					require.Equal(t, c.version, resp.GetVersion())
					again, err := c.call(t.Context(), client)
					require.NoError(t, err)
					require.True(t, proto.Equal(resp, again), "a repeat returns the first result")
				}
				checkDetails(t, err, c.field, c.version)
			})
		})
	}
}

// checkDetails checks the standard error details.
func checkDetails(t *testing.T, err error, field string, version int64) {
	var fields []string
	for _, detail := range status.Convert(err).Details() {
		switch d := detail.(type) {
		case *errdetails.BadRequest:
			for _, violation := range d.GetFieldViolations() {
				fields = append(fields, violation.GetField())
			}
		case *errdetails.ErrorInfo:
			require.Equal(t, "VERSION_CONFLICT", d.GetReason())
			require.EqualValues(t, 1, version)
			require.Equal(t, "1", d.GetMetadata()["current_version"])
		}
	}
	if field != "" {
		require.Contains(t, fields, field)
	}
	require.Equal(t, status.Code(err) == codes.Aborted, err != nil && len(fields) == 0 && len(status.Convert(err).Details()) == 1)
}

// TestWatch checks that the stream has the existing deployments first, and then
// the changes in order.
func TestWatch(t *testing.T) {
	withSystem(t, func(t *testing.T, _ *testsystem.System, client pb.OperatorsClient) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		stream, err := client.WatchDeployments(ctx, &pb.WatchDeploymentsRequest{})
		require.NoError(t, err)
		for _, want := range []int64{1, 2, 3} {
			change, err := stream.Recv()
			require.NoError(t, err)
			require.Equal(t, want, change.GetVersion())
			next := &pb.DrainEndpointRequest{Endpoint: "e1", Drained: want == 1, OperationId: string(rune('a' + want))}
			_, err = client.DrainEndpoint(t.Context(), next)
			require.NoError(t, err)
		}
	})
}

// TestStatus checks that the status reports nodes, owners and replicas, and
// whether the replica limit is guaranteed to be in effect.
func TestStatus(t *testing.T) {
	withSystem(t, func(t *testing.T, s *testsystem.System, client pb.OperatorsClient) {
		_, err := client.GetStatus(t.Context(), &pb.GetStatusRequest{Deployment: "nowhere"})
		require.Equal(t, codes.NotFound, status.Code(err))
		st, err := client.GetStatus(t.Context(), &pb.GetStatusRequest{Deployment: "showroom"})
		require.NoError(t, err)
		require.EqualValues(t, 1, st.GetHeadVersion())
		require.Len(t, st.GetNodes(), 4)
		for _, node := range st.GetNodes() {
			require.True(t, node.GetReachable(), node)
			require.EqualValues(t, 1, node.GetVersionInForce())
		}
		require.Equal(t, "vm-a", st.GetEndpoints()[0].GetOwner(), "%v", st.GetEndpoints())
		require.True(t, st.GetModels()[0].GetLimitInForce())
		for _, controller := range s.Controllers {
			controller.Kill()
		}
		st, err = client.GetStatus(t.Context(), &pb.GetStatusRequest{})
		require.NoError(t, err)
		require.Empty(t, st.GetEndpoints()[0].GetOwner(), "no reachable process owns it")
		waited, err := client.WaitInForce(t.Context(), &pb.WaitInForceRequest{Version: 1})
		require.NoError(t, err)
		require.False(t, waited.GetInForce())
		require.Len(t, waited.GetMissing(), 2)
	})
}

// TestTimelineGaps checks the reported gaps after a process was killed, and
// after it was replaced.
func TestTimelineGaps(t *testing.T) {
	withSystem(t, func(t *testing.T, s *testsystem.System, client pb.OperatorsClient) {
		kinds := func() map[string]pb.TimelineGapKind {
			resp, err := client.GetTimeline(t.Context(), &pb.GetTimelineRequest{})
			require.NoError(t, err)
			require.NotEmpty(t, resp.GetEvents())
			out := map[string]pb.TimelineGapKind{}
			for _, gap := range resp.GetGaps() {
				out[gap.GetProcess()] = gap.GetKind()
			}
			return out
		}
		require.Empty(t, kinds())
		killed := s.Controllers[0]
		killed.Kill()
		require.Equal(t, map[string]pb.TimelineGapKind{killed.Events.Process(): pb.TimelineGapKind_TIMELINE_GAP_KIND_NO_ANSWER}, kinds())
		time.Sleep(time.Minute)
		s.StartController(killed.VM, killed.DataCentre)
		time.Sleep(10 * time.Second)
		require.Equal(t, map[string]pb.TimelineGapKind{killed.Events.Process(): pb.TimelineGapKind_TIMELINE_GAP_KIND_REPLACED}, kinds())
		_, err := client.GetTimeline(t.Context(), &pb.GetTimelineRequest{Limit: 1})
		require.NoError(t, err)
	})
}
