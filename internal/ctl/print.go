package ctl

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "chestnutgauge/api/chestnutgauge/v1"
)

// timeFormat is the format of the times of events.
const timeFormat = "15:04:05.000000"

func printJSON(cmd *cobra.Command, message proto.Message) error {
	text, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true}.Marshal(message)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(cmd.OutOrStdout(), string(text))
	return err
}

func printList(cmd *cobra.Command, deployments []*pb.Deployment) error {
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "NAME\tVERSION\tMODELS\tENDPOINTS")
	for _, d := range deployments {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\n", d.GetName(), d.GetVersion(), len(d.GetModels()), len(d.GetEndpoints()))
	}
	return table.Flush()
}

func printStatus(cmd *cobra.Command, st *pb.Status) error {
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "HEAD VERSION\t%d\n\n", st.GetHeadVersion())
	fmt.Fprintln(table, "NODE\tDATA CENTRE\tVERSION\tREACHABLE\tSUSPECT\tDRAINING\tREFUSALS")
	for _, node := range st.GetNodes() {
		fmt.Fprintf(table, "%s@%s\t%s\t%d\t%t\t%t\t%t\t%s\n", node.GetRole(), node.GetVm(), node.GetDataCentre(), node.GetVersionInForce(),
			node.GetReachable(), node.GetSuspect(), node.GetDraining(), counts(node.GetRefusals()))
	}
	fmt.Fprintln(table, "\nENDPOINT\tOWNER\tFENCE\tMEMORY\tLOADED\tLOADING\tPARKED")
	for _, e := range st.GetEndpoints() {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d/%d\t%s\t%s\t%s\n", e.GetName(), e.GetOwner(), e.GetFence(), e.GetMemoryUsedBytes(), e.GetMemoryTotalBytes(),
			strings.Join(e.GetLoaded(), ","), strings.Join(e.GetLoading(), ","), strings.Join(e.GetParked(), ","))
	}
	fmt.Fprintln(table, "\nMODEL\tLIMIT\tLOADED\tLOADING\tPARKED\tLIMIT IN FORCE")
	for _, m := range st.GetModels() {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%t\n", m.GetName(), m.GetMaxReplicas(), m.GetLoaded(), m.GetLoading(), m.GetParked(), m.GetLimitInForce())
	}
	return table.Flush()
}

// counts formats numbers by name, as in a=1,b=2.
func counts(numbers map[string]int64) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(numbers)) {
		parts = append(parts, fmt.Sprintf("%s=%d", name, numbers[name]))
	}
	return strings.Join(parts, ",")
}

func printTimeline(cmd *cobra.Command, resp *pb.GetTimelineResponse) error {
	out := cmd.OutOrStdout()
	for _, event := range resp.GetEvents() {
		fields := []string{event.GetTime().AsTime().Format(timeFormat), event.GetProcess(), event.GetKind(), "order=" + order(event)}
		add := func(key, value string) {
			if value != "" && value != "0" {
				fields = append(fields, key+"="+value)
			}
		}
		add("request_id", event.GetRequestId())
		add("model", event.GetModel())
		add("endpoint", event.GetEndpoint())
		add("fence", fmt.Sprint(event.GetFence()))
		add("config_version", fmt.Sprint(event.GetConfigVersion()))
		for _, key := range slices.Sorted(maps.Keys(event.GetAttributes())) {
			add(key, event.GetAttributes()[key])
		}
		if _, err := fmt.Fprintln(out, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	for _, gap := range resp.GetGaps() {
		if _, err := fmt.Fprintf(out, "gap process=%s kind=%s reason=%q before=%s\n", gap.GetProcess(), gapKind(gap), gap.GetReason(), gapBefore(gap)); err != nil {
			return err
		}
	}
	return nil
}

// order returns how the position of an event in the timeline was determined: by
// cause or by clock.
func order(event *pb.Event) string {
	if event.GetOrder() == pb.EventOrder_EVENT_ORDER_CAUSE {
		return "cause"
	}
	return "clock"
}

func gapKind(gap *pb.TimelineGap) string {
	return strings.ToLower(strings.TrimPrefix(gap.GetKind().String(), "TIMELINE_GAP_KIND_"))
}

func gapBefore(gap *pb.TimelineGap) string {
	if gap.GetBefore() == nil {
		return "any"
	}
	return gap.GetBefore().AsTime().Format(timeFormat)
}
