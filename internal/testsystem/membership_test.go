package testsystem_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/platform"
	"chestnutgauge/internal/settings"
	"chestnutgauge/internal/standin"
	"chestnutgauge/internal/testsystem"
)

// listLag is the delay with which the membership list shows changes.
const listLag = 30 * time.Second

// countSuspecting returns the number of nodes other than subject that suspect it.
func countSuspecting(nodes []*testsystem.Node, subject *testsystem.Node) int {
	count := 0
	for _, node := range nodes {
		if node != subject && node.Members.Suspect(subject.Events.Process()) {
			count++
		}
	}
	return count
}

// TestMembership checks under faults which processes of a data centre the others
// list and suspect. The first of the six nodes of data centre a is the subject.
func TestMembership(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T, s *testsystem.System, all []*testsystem.Node)
	}{
		{"no failures", func(t *testing.T, _ *testsystem.System, all []*testsystem.Node) {
			// Heartbeats to a process that is not yet listening fail. A suspect is
			// trusted again after 5 s without failures.
			time.Sleep(3 * time.Second)
			for range 60 {
				time.Sleep(time.Second)
				for _, node := range all {
					require.Zero(t, countSuspecting(all, node), node.Events.Process())
				}
			}
		}},
		{"killed, before the list shows it", func(t *testing.T, _ *testsystem.System, all []*testsystem.Node) {
			all[0].Kill()
			time.Sleep(listLag / 3)
			require.Equal(t, 5, countSuspecting(all, all[0]))
			require.Len(t, all[1].Members.Members(membership.RoleRouter, "a"), 3)
			require.Len(t, all[1].Members.Alive(membership.RoleRouter, "a"), 2)
		}},
		{"killed while disconnected from the platform", func(t *testing.T, _ *testsystem.System, all []*testsystem.Node) {
			setPlatformDisconnected(all, true)
			time.Sleep(2 * time.Minute)
			require.Len(t, all[1].Members.Alive(membership.RoleRouter, "a"), 3)
			all[0].Kill()
			time.Sleep(listLag / 3)
			require.Equal(t, 5, countSuspecting(all, all[0]))
		}},
		{"disconnected from its peers and reconnected", func(t *testing.T, _ *testsystem.System, all []*testsystem.Node) {
			setPeersDisconnected(all[:1], true)
			time.Sleep(listLag / 3)
			require.Equal(t, 5, countSuspecting(all, all[0]))
			require.Len(t, all[0].Members.Alive(membership.RoleRouter, "a"), 3, "an isolated node keeps its last known members")
			setPeersDisconnected(all[:1], false)
			time.Sleep(listLag / 2)
			require.Zero(t, countSuspecting(all, all[0]))
		}},
		{"leaving", func(t *testing.T, s *testsystem.System, all []*testsystem.Node) {
			s.StandIn.Membership.Update(all[0].VM, func(vm *platform.VM) bool {
				vm.State = platform.VMLeaving
				return true
			})
			time.Sleep(listLag + 2*time.Second)
			require.Len(t, all[1].Members.Members(membership.RoleRouter, "a"), 3)
			require.Len(t, all[1].Members.Alive(membership.RoleRouter, "a"), 2)
		}},
		{"not listed, but responding", func(t *testing.T, s *testsystem.System, all []*testsystem.Node) {
			s.StandIn.Membership.Update(all[0].VM, func(*platform.VM) bool { return false })
			time.Sleep(time.Minute + listLag)
			known := 0
			for _, node := range all[1:] {
				known += len(node.Members.Members(membership.RoleRouter, "a"))
			}
			require.Positive(t, known-2*5, "some nodes still know it")
			all[0].Kill()
			time.Sleep(2 * time.Minute)
			for _, node := range all[1:] {
				require.Len(t, node.Members.Members(membership.RoleRouter, "a"), 2)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := standin.Defaults()
				s.Membership.Lag = settings.Duration(listLag)
				system := testsystem.New(t, s, nineVMs())
				time.Sleep(3 * time.Second)
				c.run(t, system, inDataCentre(system, "a"))
			})
		})
	}
}
