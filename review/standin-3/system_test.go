//go:build review

// Package standin3 holds the stand-ins of the review's scripts: the platform's store, engines and
// plain services, consumers, and the start of node processes. It is built by review/build-3.sh.
package standin3

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	started = time.Now()
	// trouble is false if the case runs without its disruption.
	trouble = os.Getenv("TROUBLE") != "0"

	recordMu   sync.Mutex
	recordFile *os.File
	cleanups   []func()
)

// record writes a line to record.txt and to the output.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	if recordFile == nil {
		name := os.Getenv("RECORD")
		if name == "" {
			name = os.DevNull
		}
		file, err := os.Create(name)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		recordFile = file
	}
	_, _ = recordFile.WriteString(line)
	fmt.Print(line)
}

// finish ends all processes that were started, and this one with a code.
func finish(code int) {
	for _, cleanup := range cleanups {
		cleanup()
	}
	os.Exit(code)
}

// cannotRun ends the case with 2.
func cannotRun(format string, args ...any) {
	record("the case can't run: "+format, args...)
	finish(2)
}

// verdict ends the case: with 1 if the rule was broken.
func verdict(broken bool, format string, args ...any) {
	state := "held"
	code := 0
	if broken {
		state, code = "BROKEN", 1
	}
	record("verdict: the rule was "+state+": "+format, args...)
	finish(code)
}

func TestMain(m *testing.M) {
	code := m.Run()
	for _, cleanup := range cleanups {
		cleanup()
	}
	os.Exit(code)
}

// node is a node process.
type node struct {
	name, ip, zone string
	front, ready   string
	file, log      string
}

// base is the address block of this run, so that two runs don't share addresses.
var base = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))

var (
	nodesMade int
	ports     []int
)

// freePorts returns ports that are free on the addresses of all nodes.
func freePorts(count int) []int {
	var found []int
	for range count {
		listener, err := net.Listen("tcp", base+".1:0")
		if err != nil {
			cannotRun("%v", err)
		}
		defer func() { _ = listener.Close() }()
		found = append(found, listener.Addr().(*net.TCPAddr).Port)
	}
	return found
}

// newNode writes the settings of a node of a small deployment.
func newNode(s string, zone string, more ...string) *node {
	if ports == nil {
		ports = freePorts(4)
	}
	nodesMade++
	ip := fmt.Sprintf("%s.%d", base, nodesMade)
	n := &node{name: fmt.Sprintf("front-%s-%d", zone, nodesMade), ip: ip, zone: zone,
		front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1])}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		cannotRun("%v", err)
	}
	cleanups = append(cleanups, func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		}
	})
	first, last := min(ports[2], ports[3]), max(ports[2], ports[3])
	if last-first > 15 {
		last = first + 15
	}
	lines := []string{
		"nodeName=" + n.name, "role=node", "machineClass=front", "serves=front", "ip=" + ip, "zone=" + zone, "region=r",
		"zones.za=r", "zones.zb=r", "zones.zc=r",
		"listen.front=" + n.front, "listen.ready=" + n.ready, fmt.Sprintf("internalPorts=%d,%d", first, last),
		"seeds=", "bootstrap=true", "inTolerance=false",
		"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.fileDescriptors=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=platform", "entry=virtual_ip", "heartbeatMs=1200",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4",
		"bounds.drainMs=2000", "bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250",
		"bounds.maxStretchMs=5000", "bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.extraRetries=52",
		"bounds.recoveryS=12", "bounds.passMs=120", "bounds.retryAfterS=0", "bounds.requireFence=false", "bounds.leaseMs=3000",
		"bounds.thawSlackMs=300", "bounds.ceilingWindowS=5", "bounds.loadCeilingFactor=1.1",
		"platform.address=" + s, "platform.form=table", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.txMs=5.0",
		"platform.partitionWritesS=200", "platform.rowBytes=65536", "platform.across=false", "platform.historyS=20",
	}
	n.file, n.log = filepath.Join(dir, "boot.conf"), filepath.Join(dir, n.name+".log")
	if err := os.WriteFile(n.file, []byte(strings.Join(append(lines, more...), "\n")+"\n"), 0o600); err != nil {
		cannotRun("%v", err)
	}
	return n
}

// start starts the node as the deploy file says.
func (n *node) start() {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	cmd := exec.Command("target/chestnut-node")
	cmd.Dir = os.Getenv("ROOT")
	cmd.Path = filepath.Join(cmd.Dir, "target/chestnut-node")
	cmd.Env = []string{"CHESTNUTGAUGE_NODE_FILE=" + n.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannotRun("node: %v", err)
	}
	cleanups = append(cleanups, func() { _ = cmd.Process.Kill() })
	go func() {
		err := cmd.Wait()
		record("process of %s has ended: %v", n.name, err)
	}()
}

// awaitReady waits until the nodes are ready.
func awaitReady(nodes ...*node) {
	end := time.Now().Add(30 * time.Second)
	for _, n := range nodes {
		for {
			resp, err := http.Get("http://" + n.ready + "/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				cannotRun("%s is not ready in time", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	record("%d nodes are ready", len(nodes))
}
