// Package fleet runs the built programs of an example as processes on
// loopback, for tests and experiments. Each process can be killed, frozen,
// thawed, drained and started anew.
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

// lastLogBytes is how much of a log is told of a process that has ended.
const lastLogBytes = 2000

// startLimit bounds the wait for a process to answer after its start.
const startLimit = 20 * time.Second

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

// New copies an example's settings to directory, with every address moved to a
// free port. Programs are taken from bin.
func New(bin, example, directory string) (*Fleet, error) {
	f := &Fleet{bin: bin, directory: directory, addresses: map[string]string{}, processes: map[string]*Process{}}
	if err := f.lockBlock(); err != nil {
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
		if err := f.reserve(string(text)); err != nil {
			return nil, err
		}
	}
	for _, file := range files {
		if err := f.move(file); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Ports are taken below the range that the kernel gives to outgoing
// connections, so that none takes one before the start. They come in blocks; a
// fleet holds the first port of its block while it lives, so that no other
// fleet takes the block, in this process or another.
const (
	lowestPort = 10000
	blockPorts = 200
	blocks     = 100
	blockTries = 1000
)

// lockBlock takes a block of ports.
func (f *Fleet) lockBlock() error {
	for range blockTries {
		first := lowestPort + blockPorts*rand.IntN(blocks)
		lock, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			f.lock, f.nextPort = lock, first+1
			return nil
		}
	}
	return errors.New("fleet: no free block of ports")
}

// reserve gives each address in a settings file a port of the block.
func (f *Fleet) reserve(text string) error {
	for _, address := range loopback.FindAllString(text, -1) {
		if _, known := f.addresses[address]; known {
			continue
		}
		if len(f.addresses) == blockPorts-1 {
			return errors.New("fleet: the example has more addresses than a block has ports")
		}
		f.addresses[address] = fmt.Sprintf("127.0.0.1:%d", f.nextPort)
		f.nextPort++
	}
	return nil
}

func (f *Fleet) move(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	moved := loopback.ReplaceAllStringFunc(string(text), func(address string) string { return f.addresses[address] })
	return os.WriteFile(filepath.Join(f.directory, filepath.Base(file)), []byte(moved), 0o600)
}

// Address returns where an address of the example was moved to.
func (f *Fleet) Address(example string) string {
	return f.addresses[example]
}

// Names returns the names of the processes whose settings have a prefix, in
// order.
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
		return fmt.Errorf("fleet: signal %s: %w%s", name, err, f.lastWords(process))
	}
	return nil
}

// lastWords tells how a process ended and the last of its log, "" if it runs.
func (f *Fleet) lastWords(process *Process) string {
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
	return text + "\n" + string(log[max(0, len(log)-lastLogBytes):])
}

// Kill ends a process at once and waits for its end.
func (f *Fleet) Kill(name string) error {
	if err := f.Signal(name, syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-f.processes[name].ended
	return nil
}

// PID returns the id of a process.
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

// Control runs the operators' command line.
func (f *Fleet) Control(ctx context.Context, args ...string) error {
	args = append([]string{"--admins", f.Address("127.0.0.1:8090")}, args...)
	out, err := exec.CommandContext(ctx, filepath.Join(f.bin, "chestnutctl"), args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("fleet: chestnutctl %s: %w: %s", strings.Join(args, " "), err, out)
	}
	return nil
}

// Await waits until a path answers with success.
func (f *Fleet) Await(ctx context.Context, address, path string) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
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

// Stop ends all processes and frees the ports.
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

// programOf returns the program that the settings called name are for.
func programOf(name string) string {
	return "chestnut-" + strings.TrimRight(name, "-0123456789")
}
