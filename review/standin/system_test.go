//go:build review

package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// errCouldNotRun means that the case could not run.
var errCouldNotRun = errors.New("the case could not run")

// loopback returns a loopback address of its own, since the port of the metrics is fixed.
func loopback() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 2+rand.IntN(250))
}

// freePorts fills ports with different ports of an address that are free. Each is kept until all are
// chosen. No process is started meanwhile: it would keep the ports until it runs its program.
func freePorts(ip string, ports []string) error {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for i := range ports {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		defer func() { _ = listener.Close() }()
		if _, ports[i], err = net.SplitHostPort(listener.Addr().String()); err != nil {
			return err
		}
	}
	return nil
}

// node is a process of the project.
type node struct {
	name    string
	callers string
	ready   string
	file    string
	log     string
	command *exec.Cmd
	ended   chan struct{}
}

// ip returns the address of the node's machine.
func (n *node) ip() string {
	ip, _, _ := net.SplitHostPort(n.callers)
	return ip
}

// newNode writes the settings of a node, as of a small deployment.
func newNode(folder, name, zone, storeAddress string) (*node, error) {
	ip := loopback()
	var ports [3]string
	if err := freePorts(ip, ports[:]); err != nil {
		return nil, err
	}
	n := &node{name: name, callers: ip + ":" + ports[0], ready: ip + ":" + ports[1], file: filepath.Join(folder, name+".conf"), log: filepath.Join(folder, name+".log")}
	settings := []string{
		"nodeName=" + name, "role=node", "machineClass=front", "serves=front", "ip=" + ip, "zone=" + zone, "region=area", "zones." + zone + "=area",
		"listen.front=" + n.callers, "listen.ready=" + n.ready, "internalPorts=" + ports[2] + "," + ports[2],
		"bootstrap=true", "inTolerance=false", "limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.fileDescriptors=4100",
		"limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform", "entry=virtual_ip", "heartbeatMs=1200",
		"contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform", "faultTolerance.machines=2", "faultTolerance.zones=1", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000", "bounds.graceS=8",
		"bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250", "bounds.maxStretchMs=5000", "bounds.retryBudgetRatio=0.2",
		"bounds.budgetWindowS=10", "bounds.extraRetries=58", "bounds.recoveryS=12", "bounds.passMs=120", "bounds.retryAfterS=0", "bounds.requireFence=false",
		"bounds.leaseMs=3000", "bounds.thawSlackMs=300", "bounds.ceilingWindowS=5", "bounds.loadCeilingFactor=1.1",
		"platform.address=" + storeAddress, "platform.form=table", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.txMs=5.0", "platform.partitionWritesS=200",
		"platform.rowBytes=65536", "platform.across=false", "platform.historyS=20", "platform.blobBytes=8388608", "platform.blobMs=25.0", "platform.blobMbS=80.0",
	}
	return n, os.WriteFile(n.file, []byte(strings.Join(settings, "\n")+"\n"), 0o600)
}

// start starts the process with the command of the deploy file, and adds its id to the file
// of those that the script ends.
func (n *node) start(run, pids string) error {
	words := strings.Fields(run)
	if len(words) == 0 {
		return fmt.Errorf("%w: no command", errCouldNotRun)
	}
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.command = exec.Command(words[0], words[1:]...)
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHESTNUTGAUGE_NODE_FILE=" + n.file}
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(n.command, n.ended)
	list, err := os.OpenFile(pids, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = list.Close() }()
	_, err = fmt.Fprintln(list, n.command.Process.Pid)
	return err
}

// signal sends a signal to the process.
func (n *node) signal(signal syscall.Signal) {
	if n.command != nil {
		_ = n.command.Process.Signal(signal)
	}
}

// kill ends the process and waits for that.
func (n *node) kill() {
	if n.command == nil {
		return
	}
	n.signal(syscall.SIGKILL)
	<-n.ended
}

// awaitReady waits until the node says that it is ready.
func (n *node) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + n.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%w: node %s is not ready", errCouldNotRun, n.name)
}
