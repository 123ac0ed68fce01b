package eventlog

import (
	"io"
	"sync/atomic"
)

// ring takes lines without blocking and writes them in a goroutine of its own.
// A line that finds it full is dropped and counted.
type ring struct {
	lines   chan []byte
	out     io.Writer
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
}

func newRing(size int, out io.Writer) *ring {
	made := &ring{lines: make(chan []byte, size), out: out, stop: make(chan struct{}), done: make(chan struct{})}
	go made.run()
	return made
}

func (r *ring) run() {
	defer close(r.done)
	for {
		select {
		case line := <-r.lines:
			r.put(line)
		case <-r.stop:
			r.drain()
			return
		}
	}
}

// drain writes what waits.
func (r *ring) drain() {
	for {
		select {
		case line := <-r.lines:
			r.put(line)
		default:
			return
		}
	}
}

func (r *ring) put(line []byte) {
	if _, err := r.out.Write(line); err != nil {
		// Nobody reads the log any more; there is nowhere to tell it.
		r.dropped.Add(1)
	}
}

// Write implements io.Writer. It keeps a copy of the line.
func (r *ring) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// close writes what waits and ends the goroutine. It is called once; lines that
// come later are not written.
func (r *ring) close() {
	close(r.stop)
	<-r.done
}
