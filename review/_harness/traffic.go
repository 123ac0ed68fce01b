package main

import (
	"sync"
	"time"
)

// traffic submits jobs at an even rate until stop is closed.
type traffic struct {
	client *client
	jobs   *jobs
	// every is the time between two jobs; they go to the entries in turn.
	every   time.Duration
	entries []int
	make    func(number int) (prefix string, body jobBody)
}

// start begins the traffic. The returned function ends it and waits for the answers.
func (t traffic) start() (end func()) {
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		ticker := time.NewTicker(t.every)
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			prefix, body := t.make(number)
			wait.Add(1)
			go func() {
				defer wait.Done()
				t.jobs.submit(t.client, t.entries[number%len(t.entries)], prefix, body)
			}()
		}
	}()
	return func() { close(stop); wait.Wait() }
}
