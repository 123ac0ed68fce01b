package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	openChannels = 70
	// The channels are used one after the other from firstUse after the SIGTERM on.
	firstUse = 5000 * time.Millisecond
	useEvery = 10 * time.Millisecond
	// lossSlack is loss_slack_ms of the deployments.
	lossSlack = 200 * time.Millisecond
	// stopAfterRenewal is the time from a renewal of the entry's owner row to the SIGTERM.
	stopAfterRenewal = 730 * time.Millisecond
)

// runPlannedStop stops an entry with SIGTERM while clients use the channels that they have
// open. It checks the first part of LOST: what a process has read is answered.
func runPlannedStop(c *cluster, trouble bool) ([]string, error) {
	sent, caller := newJobs(), newClient(c)
	renewed := make(chan struct{}, 1)
	c.store.onWritten(func(process string, applied transaction) {
		if process == entryName(0) && len(applied.Writes) > 0 && applied.Writes[0].Table == "owners" {
			select {
			case renewed <- struct{}{}:
			default:
			}
		}
	})
	for range 10 {
		job := sent.submit(caller, 0, giftEnrols, jobBody{Spec: specOf(taskPlan{Millis: []int{12000}}), Steps: []step{{Count: 1, MilliCPU: 1000, MemMB: 64, Estimate: 12000}}})
		if job == nil {
			return nil, fmt.Errorf("a job was not accepted")
		}
	}
	channels, err := openIdle(c)
	if err != nil {
		return nil, err
	}
	<-renewed
	<-renewed
	time.Sleep(stopAfterRenewal)
	stopped := time.Now()
	if trouble {
		c.terminate(entryName(0))
	}
	time.Sleep(time.Until(stopped.Add(firstUse)))
	var mu sync.Mutex
	var broken []string
	var wait sync.WaitGroup
	for _, channel := range channels {
		time.Sleep(useEvery)
		wait.Go(func() {
			line := submitOn(c, channel, stopped)
			if line != "" {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, line)
			}
		})
	}
	wait.Wait()
	return broken, nil
}

// openIdle opens channels to the first entry and uses each of them once.
func openIdle(c *cluster) ([]net.Conn, error) {
	var channels []net.Conn
	for range openChannels {
		channel, err := net.Dial("tcp", c.address(entryHost, frontPort))
		if err != nil {
			return nil, err
		}
		if _, err := fmt.Fprintf(channel, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", addrConfirms, host); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(bufio.NewReader(channel), nil)
		if err != nil {
			return nil, err
		}
		_ = response.Body.Close()
		channels = append(channels, channel)
	}
	return channels, nil
}

// submitOn submits a job on an open channel. It returns what breaks the rule.
func submitOn(c *cluster, channel net.Conn, stopped time.Time) string {
	defer func() { _ = channel.Close() }()
	body, _ := json.Marshal(shortJob())
	id := newJobID()
	_, err := fmt.Fprintf(channel, "POST %s%s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		addrConfirms, id, host, clientTimeout.Milliseconds(), len(body), body)
	sentAt := time.Now()
	since := sentAt.Sub(stopped).Seconds()
	if err != nil {
		c.record.say("POST of job %s, %.3f s after the SIGTERM: the channel is closed already", id, since)
		return ""
	}
	_ = channel.SetReadDeadline(sentAt.Add(clientTimeout))
	response, err := http.ReadResponse(bufio.NewReader(channel), nil)
	took := time.Since(sentAt)
	if err == nil {
		_ = response.Body.Close()
		c.record.say("POST of job %s, %.3f s after the SIGTERM: answer %d after %d ms", id, since, response.StatusCode, took.Milliseconds())
		return ""
	}
	line := fmt.Sprintf("POST of job %s, %.3f s after the SIGTERM: the channel ends without an answer %d ms after the last byte was sent", id, since, took.Milliseconds())
	c.record.say("%s", line)
	if took <= lossSlack || took >= clientTimeout {
		return ""
	}
	return "LOST: " + line
}

// terminate sends SIGTERM to a process, and SIGKILL when grace_s is over.
func (c *cluster) terminate(name string) {
	c.mu.Lock()
	command := c.processes[name]
	delete(c.processes, name)
	c.mu.Unlock()
	c.record.say("%s gets SIGTERM", name)
	_ = command.Process.Signal(syscall.SIGTERM)
	time.AfterFunc(6*time.Second, func() { _ = command.Process.Kill() })
}
