//go:build review

package standin

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
	"time"
)

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = 100 * time.Millisecond

// contactTime is the bound contactMs.
const contactTime = 3 * time.Second

// node is one machine of the system, with its process.
type node struct {
	name, ip, zone string
	front, ready   string
	file           string
	log            *os.File

	mu      sync.Mutex
	process *exec.Cmd
	// calmSince is when the process last started.
	calmSince time.Time
}

// freePorts returns different free ports of a loopback address.
func freePorts(ip string, count int) ([]string, error) {
	var ports []string
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		_, port, _ := net.SplitHostPort(listener.Addr().String())
		ports = append(ports, port)
	}
	return ports, nil
}

// loopbackNet returns a prefix of loopback addresses that this run uses.
func loopbackNet() string {
	return fmt.Sprintf("127.%d.%d.", 2+rand.IntN(250), 1+rand.IntN(250))
}

// settings of a small deployment. The addresses and the zone are those of the node.
const settingsText = `nodeName=%s
role=node
machineClass=front
serves=front
ip=%s
zone=%s
region=north
listen.front=%s
listen.ready=%s
internalPorts=%s,%s
bootstrap=true
inTolerance=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=284
limits.fileDescriptors=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=virtual_ip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform
faultTolerance.machines=2
faultTolerance.zones=1
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.maxStretchMs=5000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.extraRetries=52
bounds.recoveryS=12
bounds.passMs=120
bounds.retryAfterS=0
bounds.requireFence=false
bounds.leaseMs=3000
bounds.thawSlackMs=300
bounds.ceilingWindowS=5
bounds.loadCeilingFactor=1.1
platform.address=%s
platform.form=table
platform.writesPerS=400
platform.readsPerS=2000
platform.txMs=5.0
platform.partitionWritesS=200
platform.rowBytes=65536
platform.across=false
platform.historyS=20
`

// newNode returns a node whose process is not started yet.
func newNode(dir, name, ip, zone, storeAddress string) (*node, error) {
	ports, err := freePorts(ip, 3)
	if err != nil {
		return nil, err
	}
	n := &node{name: name, ip: ip, zone: zone, front: ip + ":" + ports[0], ready: ip + ":" + ports[1], file: filepath.Join(dir, name+".conf")}
	text := fmt.Sprintf(settingsText, name, ip, zone, n.front, n.ready, ports[2], ports[2], storeAddress)
	if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	n.log, err = os.Create(filepath.Join(dir, name+".log"))
	return n, err
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = exec.Command("target/chestnut-node")
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "CHESTNUTGAUGE_NODE_FILE=" + n.file}
	n.process.Stdout, n.process.Stderr = n.log, n.log
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.calmSince = time.Now()
	return n.process.Start()
}

// kill ends the process at once and waits until it has ended.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || n.process.Process == nil {
		return
	}
	_ = n.process.Process.Kill()
	_ = n.process.Wait()
	n.process = nil
	n.calmSince = time.Now().Add(time.Hour)
}

// inTouch reports whether the process has run undisturbed for contactTime.
func (n *node) inTouch(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return now.Sub(n.calmSince) >= contactTime
}

// awaitReady waits until all nodes answer the readiness check.
func awaitReady(nodes []*node, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(limit)
	for _, n := range nodes {
		for {
			resp, err := client.Get("http://" + n.ready + "/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// named returns the node with a name, nil if there is none.
func named(nodes []*node, name string) *node {
	for _, n := range nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// record writes what is sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{began: time.Now(), file: file}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := strings.ReplaceAll(fmt.Sprintf(format, args...), "\n", " ")
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.began).Seconds(), text)
}
