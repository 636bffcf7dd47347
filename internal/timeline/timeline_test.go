package timeline

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/timestamppb"

	pb "chestnutgauge/api/chestnutgauge/v1"
)

// at returns an event whose timestamp is the given second by the clock of its
// VM.
func at(second int64, process string, sequence int64, kind string, set func(e *pb.Event)) *pb.Event {
	e := &pb.Event{
		Time: timestamppb.New(time.Unix(second, 0)), Process: process, Incarnation: process, Sequence: sequence, Kind: kind,
	}
	if set != nil {
		set(e)
	}
	return e
}

func request(id string) func(*pb.Event) { return func(e *pb.Event) { e.RequestId = id } }
func version(v int64) func(*pb.Event)   { return func(e *pb.Event) { e.ConfigVersion = v } }
func fence(name string, f int64) func(*pb.Event) {
	return func(e *pb.Event) { e.Endpoint, e.Fence = name, f }
}

// TestOrder checks the order of events of VMs whose clocks differ.
func TestOrder(t *testing.T) {
	cases := []struct {
		name  string
		list  []*pb.Event
		want  string
		cause int
	}{
		{"clocks only", []*pb.Event{at(2, "b", 1, "y", nil), at(1, "a", 1, "x", nil)}, "x y", 0},
		{"a clock set back within a process", []*pb.Event{at(5, "a", 1, "x", nil), at(3, "a", 2, "y", nil)}, "x y", 1},
		{"a router's clock is ahead", []*pb.Event{
			at(9, "router", 1, "request_received", request("r")), at(2, "controller", 1, "load_ordered", request("r")),
			at(10, "router", 2, "request_answered", request("r")),
		}, "request_received load_ordered request_answered", 1},
		{"another request is not delayed", []*pb.Event{
			at(9, "router", 1, "request_received", request("r")), at(2, "controller", 1, "load_ordered", request("s")),
		}, "load_ordered request_received", 0},
		{"an admin's clock is ahead", []*pb.Event{
			at(9, "admin", 1, "config_changed", version(4)), at(1, "router", 1, "config_applied", version(3)),
			at(2, "router", 2, "config_applied", version(5)),
		}, "config_applied config_changed config_applied", 1},
		{"a repeat of the change at a process that had applied it", []*pb.Event{
			at(1, "a", 1, "config_changed", version(4)), at(2, "b", 1, "config_applied", version(4)), at(3, "b", 2, "config_changed", version(4)),
		}, "config_changed config_applied config_changed", 0},
		{"a successor's clock is behind", []*pb.Event{
			at(5, "a", 1, "endpoint_taken", fence("e", 1)), at(1, "b", 1, "endpoint_taken", fence("e", 2)), at(2, "b", 2, "load_ordered", fence("e", 2)),
		}, "endpoint_taken endpoint_taken load_ordered", 2},
		{"cyclic causes", []*pb.Event{
			at(1, "a", 1, "config_applied", version(1)), at(2, "a", 2, "request_received", request("r")),
			at(3, "b", 1, "x", request("r")), at(4, "b", 2, "config_changed", version(1)),
		}, "config_applied request_received x config_changed", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var kinds []string
			cause := 0
			for _, event := range Order(c.list) {
				kinds = append(kinds, event.GetKind())
				if event.GetOrder() == pb.EventOrder_EVENT_ORDER_CAUSE {
					cause++
				}
			}
			require.Equal(t, c.want, strings.Join(kinds, " "))
			require.Equal(t, c.cause, cause)
		})
	}
}
