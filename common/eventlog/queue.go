package eventlog

import (
	"io"
	"sync/atomic"
)

// lineQueue accepts lines without blocking and writes them in its own goroutine.
// When it is full, new lines are dropped and counted.
type lineQueue struct {
	lines   chan []byte
	out     io.Writer
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
}

func newLineQueue(size int, out io.Writer) *lineQueue {
	queue := &lineQueue{lines: make(chan []byte, size), out: out, stop: make(chan struct{}), done: make(chan struct{})}
	go queue.run()
	return queue
}

func (q *lineQueue) run() {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.writeLine(line)
		case <-q.stop:
			q.drain()
			return
		}
	}
}

// drain writes the queued lines.
func (q *lineQueue) drain() {
	for {
		select {
		case line := <-q.lines:
			q.writeLine(line)
		default:
			return
		}
	}
}

func (q *lineQueue) writeLine(line []byte) {
	if _, err := q.out.Write(line); err != nil {
		// The log output itself failed, so the error can't be logged.
		q.dropped.Add(1)
	}
}

// Write implements io.Writer. It queues a copy of the line.
func (q *lineQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// close writes the queued lines and stops the goroutine. Call it once; later
// lines are not written.
func (q *lineQueue) close() {
	close(q.stop)
	<-q.done
}
