package e2e

import (
	"bufio"
	"encoding/json"
	"io"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// startLimit bounds the time until a process listens.
	startLimit = 20 * time.Second
	// stopLimit bounds the time of a planned stop.
	stopLimit = 30 * time.Second
)

// process is one process of the system under test.
type process struct {
	t       testing.TB
	name    string
	command *exec.Cmd
	// addresses holds the string fields of its line "listening".
	addresses map[string]string
	ended     chan struct{}
	exitCode  int

	mu  sync.Mutex
	log []string
}

// start starts the binary with args and waits until it listens.
func start(t testing.TB, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, command: exec.Command(binary, args...), ended: make(chan struct{})}
	stderr, err := p.command.StderrPipe()
	must.NoError(t, err)
	must.NoError(t, p.command.Start())
	listening := make(chan map[string]string, 1)
	read := make(chan struct{})
	go p.readLog(stderr, listening, read)
	go p.wait(read)
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			p.printLog()
		}
	})
	select {
	case p.addresses = <-listening:
	case <-p.ended:
		p.printLog()
		t.Fatalf("%s ended with %d before it listened", name, p.exitCode)
	case <-time.After(startLimit):
		p.printLog()
		t.Fatalf("%s does not listen", name)
	}
	return p
}

func (p *process) readLog(stderr io.Reader, listening chan<- map[string]string, done chan<- struct{}) {
	defer close(done)
	lines := bufio.NewScanner(stderr)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		p.mu.Lock()
		p.log = append(p.log, lines.Text())
		p.mu.Unlock()
		var fields map[string]any
		if json.Unmarshal(lines.Bytes(), &fields) != nil || fields["message"] != "listening" {
			continue
		}
		addresses := make(map[string]string)
		for key, value := range fields {
			if text, ok := value.(string); ok {
				addresses[key] = text
			}
		}
		select {
		case listening <- addresses:
		default:
		}
	}
}

func (p *process) wait(read <-chan struct{}) {
	<-read
	_ = p.command.Wait()
	p.exitCode = p.command.ProcessState.ExitCode()
	close(p.ended)
}

func (p *process) printLog() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.t.Logf("--- %s", p.name)
	for _, line := range p.log {
		p.t.Log(line)
	}
}

// signal sends a signal to the process.
func (p *process) signal(signal syscall.Signal) {
	p.t.Helper()
	must.NoError(p.t, p.command.Process.Signal(signal))
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// stop asks for a planned stop and returns the exit code.
func (p *process) stop() int {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(stopLimit):
		p.printLog()
		p.t.Fatalf("%s does not stop", p.name)
	}
	return p.exitCode
}
