// Package fleet runs the built programs with an example's settings as processes
// on loopback, for tests and benchmarks. Each process can be signalled, stopped
// and restarted.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"time"
)

// logTailBytes is how much of an ended process's log goes into an error.
const logTailBytes = 2000

// startTimeout is the maximum time until a started process answers.
const startTimeout = 20 * time.Second

// Process is one running program.
type Process struct {
	Name string

	command *exec.Cmd
	ended   chan struct{}
}

// Fleet is a set of processes with their settings.
type Fleet struct {
	bin       string
	directory string
	addresses map[string]string
	processes map[string]*Process
	lock      net.Listener
	nextPort  int
}

var loopback = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// New copies an example's settings to directory and replaces every address by a
// free port. Programs are run from bin.
func New(bin, example, directory string) (*Fleet, error) {
	f := &Fleet{bin: bin, directory: directory, addresses: map[string]string{}, processes: map[string]*Process{}}
	if err := f.lockPortBlock(); err != nil {
		return nil, err
	}
	files, err := filepath.Glob(filepath.Join(example, "*.toml"))
	if err != nil || len(files) == 0 {
		return nil, fmt.Errorf("fleet: no settings in %s: %w", example, err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		if err := f.assignPorts(string(text)); err != nil {
			return nil, err
		}
	}
	for _, file := range files {
		if err := f.copySettings(file); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Ports lie below the kernel's range of ephemeral ports, so that no outgoing
// connection takes one before a process listens on it. They are allocated in
// blocks: a fleet listens on the first port of its block until it is stopped,
// which locks the block against other fleets in this process and others.
const (
	lowestPort    = 10000
	portsPerBlock = 200
	portBlocks    = 100
	lockAttempts  = 1000
)

// lockPortBlock locks a random block of ports.
func (f *Fleet) lockPortBlock() error {
	for range lockAttempts {
		first := lowestPort + portsPerBlock*rand.IntN(portBlocks)
		lock, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			f.lock, f.nextPort = lock, first+1
			return nil
		}
	}
	return errors.New("fleet: no free block of ports")
}

// assignPorts assigns a port of the block to each new address in a settings file.
func (f *Fleet) assignPorts(text string) error {
	for _, address := range loopback.FindAllString(text, -1) {
		if _, known := f.addresses[address]; known {
			continue
		}
		if len(f.addresses) == portsPerBlock-1 {
			return errors.New("fleet: the example has more addresses than a block has ports")
		}
		f.addresses[address] = fmt.Sprintf("127.0.0.1:%d", f.nextPort)
		f.nextPort++
	}
	return nil
}

// copySettings copies a settings file with the assigned addresses.
func (f *Fleet) copySettings(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	rewritten := loopback.ReplaceAllStringFunc(string(text), func(address string) string { return f.addresses[address] })
	return os.WriteFile(filepath.Join(f.directory, filepath.Base(file)), []byte(rewritten), 0o600)
}

// Address returns the address that replaces an address of the example.
func (f *Fleet) Address(example string) string {
	return f.addresses[example]
}

// Names returns the names of the settings files with a prefix, without ".toml",
// in order.
func (f *Fleet) Names(prefix string) []string {
	files, _ := filepath.Glob(filepath.Join(f.directory, prefix+"*.toml"))
	var out []string
	for _, file := range files {
		out = append(out, strings.TrimSuffix(filepath.Base(file), ".toml"))
	}
	slices.Sort(out)
	return out
}

// Start starts the process of a settings file.
func (f *Fleet) Start(name string) error {
	log, err := os.OpenFile(filepath.Join(f.directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(f.bin, programOf(name)), "--config", filepath.Join(f.directory, name+".toml"))
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	process := &Process{Name: name, command: command, ended: make(chan struct{})}
	f.processes[name] = process
	go func() {
		_ = command.Wait()
		close(process.ended)
	}()
	return nil
}

// Signal sends a signal to a process.
func (f *Fleet) Signal(name string, signal syscall.Signal) error {
	process, ok := f.processes[name]
	if !ok {
		return fmt.Errorf("fleet: no process %s", name)
	}
	if err := process.command.Process.Signal(signal); err != nil {
		return fmt.Errorf("fleet: signal %s: %w%s", name, err, f.exitDetails(process))
	}
	return nil
}

// exitDetails returns the exit status and the end of the log of a process that
// has ended, otherwise "".
func (f *Fleet) exitDetails(process *Process) string {
	select {
	case <-process.ended:
	default:
		return ""
	}
	text := fmt.Sprintf("; %s", process.command.ProcessState)
	log, err := os.ReadFile(filepath.Join(f.directory, process.Name+".log"))
	if err != nil {
		return text
	}
	return text + "\n" + string(log[max(0, len(log)-logTailBytes):])
}

// Kill sends SIGKILL to a process and waits until it has ended.
func (f *Fleet) Kill(name string) error {
	if err := f.Signal(name, syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-f.processes[name].ended
	return nil
}

// PID returns the process id.
func (f *Fleet) PID(name string) int {
	return f.processes[name].command.Process.Pid
}

// Wait waits until a process has ended.
func (f *Fleet) Wait(ctx context.Context, name string) error {
	select {
	case <-f.processes[name].ended:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("fleet: %s has not ended: %w", name, ctx.Err())
	}
}

// StartAll starts the stand-in, then all other processes, and applies the
// example's deployment.
func (f *Fleet) StartAll(ctx context.Context) error {
	if err := f.Start("standin"); err != nil {
		return err
	}
	if err := f.Await(ctx, f.Address("127.0.0.1:8070"), "/membership"); err != nil {
		return err
	}
	for _, role := range []string{"admin-", "controller-", "router-"} {
		for _, name := range f.Names(role) {
			if err := f.Start(name); err != nil {
				return err
			}
		}
	}
	if err := f.Await(ctx, f.Address("127.0.0.1:8160"), "/readyz"); err != nil {
		return err
	}
	for _, name := range f.Names("deployment") {
		if err := f.Control(ctx, "apply", filepath.Join(f.directory, name+".toml")); err != nil {
			return err
		}
	}
	return nil
}

// Control runs chestnutctl with the arguments.
func (f *Fleet) Control(ctx context.Context, args ...string) error {
	args = append([]string{"--admins", f.Address("127.0.0.1:8090")}, args...)
	out, err := exec.CommandContext(ctx, filepath.Join(f.bin, "chestnutctl"), args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("fleet: chestnutctl %s: %w: %s", strings.Join(args, " "), err, out)
	}
	return nil
}

// Await waits, at most startTimeout, until a GET of path returns status 200.
func (f *Fleet) Await(ctx context.Context, address, path string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("fleet: no answer from %s%s: %w", address, path, ctx.Err())
		}
	}
}

// Stop kills all processes and unlocks the block of ports.
func (f *Fleet) Stop() {
	defer f.lock.Close()
	for _, process := range f.processes {
		_ = process.command.Process.Signal(syscall.SIGCONT)
		_ = process.command.Process.Kill()
		<-process.ended
	}
}

// CheckSettings runs each daemon with --check on the settings of an example.
func CheckSettings(ctx context.Context, bin, example string) error {
	files, err := filepath.Glob(filepath.Join(example, "*.toml"))
	if err != nil {
		return err
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".toml")
		if strings.HasPrefix(name, "deployment") {
			continue
		}
		program := filepath.Join(bin, programOf(name))
		if out, err := exec.CommandContext(ctx, program, "--config", file, "--check").CombinedOutput(); err != nil {
			return fmt.Errorf("fleet: %s --check %s: %w: %s", program, file, err, out)
		}
	}
	return nil
}

// programOf returns the name of the program that uses the settings called name.
func programOf(name string) string {
	return "chestnut-" + strings.TrimRight(name, "-0123456789")
}
