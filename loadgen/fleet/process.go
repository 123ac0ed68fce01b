package fleet

import (
	"bufio"
	"encoding/json"
	"io"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

const (
	// startLimit bounds the time until a process listens.
	startLimit = 30 * time.Second
	// stopLimit bounds a planned stop; a process that takes longer is killed.
	stopLimit = 20 * time.Second
	// maxLogLine bounds a line of a process's log, in bytes.
	maxLogLine = 1 << 20
	// keptLogLines is the number of last log lines that are kept.
	keptLogLines = 20
)

// Process is one process of a fleet.
type Process struct {
	Name string

	command *exec.Cmd
	ended   chan struct{}
	// addresses holds the text fields of the line "listening".
	addresses map[string]string

	mu   sync.Mutex
	last []string
}

// startProcess starts the program and waits until it listens.
func startProcess(name, binary string, args ...string) (*Process, error) {
	p := &Process{Name: name, command: exec.Command(binary, args...), ended: make(chan struct{})}
	stderr, err := p.command.StderrPipe()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := p.command.Start(); err != nil {
		return nil, Error.Wrap(err)
	}
	listening := make(chan map[string]string, 1)
	go p.follow(stderr, listening)
	select {
	case p.addresses = <-listening:
		return p, nil
	case <-p.ended:
		return nil, Error.New("%s ended before it listened: %v", name, p.lastLines())
	case <-time.After(startLimit):
		p.kill()
		return nil, Error.New("%s does not listen: %v", name, p.lastLines())
	}
}

// follow reads the log until the process ends.
func (p *Process) follow(log io.Reader, listening chan<- map[string]string) {
	defer close(p.ended)
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		p.keep(lines.Text())
		if addresses := addressesOf(lines.Bytes()); addresses != nil {
			select {
			case listening <- addresses:
			default:
			}
		}
	}
	_ = p.command.Wait()
}

func (p *Process) keep(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last = append(p.last, line)
	p.last = p.last[max(0, len(p.last)-keptLogLines):]
}

func (p *Process) lastLines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last
}

// addressesOf returns the text fields of a line "listening", or nil for
// another line.
func addressesOf(line []byte) map[string]string {
	var fields map[string]any
	if json.Unmarshal(line, &fields) != nil || fields["message"] != "listening" {
		return nil
	}
	addresses := make(map[string]string)
	for name, value := range fields {
		if text, ok := value.(string); ok {
			addresses[name] = text
		}
	}
	return addresses
}

// PID returns the identifier of the process.
func (p *Process) PID() int { return p.command.Process.Pid }

// URL returns the base URL of the address that the process logged under name.
func (p *Process) URL(name string) string { return "http://" + p.addresses[name] }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// stop asks for a planned stop and kills the process when that takes too long.
func (p *Process) stop() {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(stopLimit):
		p.kill()
	}
}

func (p *Process) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}
