package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/figring/figring/platform/standin"
)

// Bounds of a small deployment, from the users' pages.
const (
	graceSeconds        = 6
	heartbeat           = 1500 * time.Millisecond
	defaultRestartDelay = 300 * time.Millisecond
)

const (
	host   = "desk.example"
	prefix = "/jobs/"
)

// worker describes a minion and the sidecar beside it.
type worker struct {
	zone    string
	labels  []string
	service string
	cpu     int64
}

// cluster is a small deployment on loopback addresses: the project's own programs as
// separate processes, and stand-ins for the platform's table and the minions.
type cluster struct {
	record  *record
	dir     string
	base    string
	port    int
	binary  string
	zones   []string
	workers []worker

	table   *standin.Table
	ledger  *standin.Ledger
	minions []*standin.Minion
	links   *links
	// wrapMinion is put before a minion, if it is set.
	wrapMinion func(place int, next http.Handler) http.Handler
	// wrapTable is put before the table, if it is set.
	wrapTable func(http.Handler) http.Handler

	mu        sync.Mutex
	processes map[string]*exec.Cmd
	// restartDelay is the time from the end of a process to its next start.
	restartDelay time.Duration
	// removed are the processes that are not started again.
	removed map[string]bool
	ended   bool
	done    sync.WaitGroup
}

func newCluster(r *record, zones []string, workers []worker) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{
		record: r, dir: dir, binary: "target/figring", zones: zones, workers: workers,
		base: fmt.Sprintf("127.%d.%d", 61+os.Getpid()%60, 1+os.Getpid()/60%200), table: standin.NewTable(), ledger: &standin.Ledger{},
		processes: make(map[string]*exec.Cmd), removed: make(map[string]bool), restartDelay: defaultRestartDelay,
	}
	if c.port, err = freePort(c.base + ".1"); err != nil {
		return nil, err
	}
	c.links = newLinks(c)
	running.Lock()
	defer running.Unlock()
	running.cluster = c
	return c, nil
}

func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	port := listener.Addr().(*net.TCPAddr).Port
	return min(port, 60000), nil
}

func (c *cluster) address(hostNumber, offset int) string {
	return fmt.Sprintf("%s.%d:%d", c.base, hostNumber, c.port+offset)
}

func entryName(i int) string { return fmt.Sprintf("edge-%d", i) }
func sideName(i int) string  { return fmt.Sprintf("side-%d", i) }

func minionName(i int) string { return fmt.Sprintf("i-%d", i) }

// start starts the stand-ins and then all processes.
func (c *cluster) start(manifest map[string]any) error {
	listener, err := net.Listen("tcp", c.address(1, 1))
	if err != nil {
		return err
	}
	handler := c.table.Handler()
	if c.wrapTable != nil {
		handler = c.wrapTable(handler)
	}
	go func() { _ = http.Serve(listener, handler) }()
	if err := c.table.Put("op", "config", manifest); err != nil {
		return err
	}
	for i := range c.zones {
		if err := c.proxies(entryName(i), 10+i, 40+i); err != nil {
			return err
		}
	}
	for i := range c.workers {
		if err := c.proxies(sideName(i), 70+i, 120+i); err != nil {
			return err
		}
		if err := c.startMinion(i); err != nil {
			return err
		}
	}
	for i := range c.workers {
		c.run(sideName(i))
	}
	for i := range c.zones {
		c.run(entryName(i))
	}
	return nil
}

// proxies opens the proxies of a process: one before its RPC address, one between it and
// the table.
func (c *cluster) proxies(name string, host, proxyHost int) error {
	if err := c.links.open(c.address(proxyHost, 0), c.address(host, 0), "", name); err != nil {
		return err
	}
	return c.links.open(c.address(proxyHost, 1), c.address(1, 1), name, "table")
}

func (c *cluster) startMinion(i int) error {
	listener, err := net.Listen("tcp", c.address(170+i, 0))
	if err != nil {
		return err
	}
	minion := standin.NewMinion(minionName(i), c.ledger, uint64(i))
	c.minions = append(c.minions, minion)
	handler := minion.Handler()
	if c.wrapMinion != nil {
		handler = c.wrapMinion(i, handler)
	}
	go func() { _ = http.Serve(listener, handler) }()
	go c.beat(i, minion)
	return nil
}

// beat sends the pings of a minion to the sidecar on its machine.
func (c *cluster) beat(i int, minion *standin.Minion) {
	started := time.Now()
	url := fmt.Sprintf("http://%s/-/instances/i-%d/heartbeat", c.address(70+i, 1), i)
	client := &http.Client{Timeout: time.Second}
	worker := c.workers[i]
	for sequence := 1; !c.over() && !c.isRemoved(sideName(i)); sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": worker.service, "addr": c.address(170+i, 0), "zone": worker.zone, "version": "v1", "slots": 8, "state": "ready", "cold_ms": 0,
			"capacity": map[string]any{"cpu": worker.cpu, "mem_mb": 131072, "gpu": 0}, "labels": worker.labels,
			"clock_ms": time.Since(started).Milliseconds() + 1, "seq": sequence, "born": minion.Born(),
		})
		pause := 300 * time.Millisecond
		if response, err := client.Post(url, "application/json", bytes.NewReader(body)); err == nil {
			if response.StatusCode == http.StatusOK {
				pause = heartbeat
			}
			_ = response.Body.Close()
		}
		time.Sleep(pause)
	}
}

func (c *cluster) over() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// settings returns the command and the settings of a process, as the deploy file's templates
// make them. Only the RPC address that others dial and the table's address differ: they are
// those of the proxies.
func (c *cluster) settings(name string) (string, map[string]any) {
	var number int
	seeds := []string{}
	for i := range min(len(c.zones), 3) {
		seeds = append(seeds, c.address(40+i, 0))
	}
	shared := map[string]any{
		"name": name, "seeds": seeds, "secret": "figring-internal-link", "stopGrace": fmt.Sprintf("%ds", graceSeconds),
	}
	host, proxyHost := 0, 0
	if _, err := fmt.Sscanf(name, "side-%d", &number); err == nil {
		host, proxyHost = 70+number, 120+number
		shared["zone"] = c.workers[number].zone
		shared["reportsListen"] = c.address(host, 1)
		shared["minion"] = c.address(170+number, 0)
	} else {
		_, _ = fmt.Sscanf(name, "edge-%d", &number)
		host, proxyHost = 10+number, 40+number
		shared["zone"] = c.zones[number]
		shared["callersListen"] = c.address(host, 1)
		shared["readyListen"] = c.address(host, 3)
		shared["partWritesPerSecond"] = 150
		shared["rowBytes"] = 65536
	}
	shared["rpcListen"] = c.address(host, 0)
	shared["rpcAdvertise"] = c.address(proxyHost, 0)
	shared["statusListen"] = c.address(host, 2)
	shared["table"] = c.address(proxyHost, 1)
	if host >= 70 {
		return "executor", shared
	}
	return "dispatcher", shared
}

// run runs a process and starts it again whenever it ends.
func (c *cluster) run(name string) {
	role, settings := c.settings(name)
	encoded, _ := json.Marshal(settings)
	path := filepath.Join(c.dir, name+".jsonc")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		c.record.note("settings of %s: %v", name, err)
		return
	}
	out, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.record.note("log of %s: %v", name, err)
		return
	}
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		defer out.Close()
		for !c.over() && !c.isRemoved(name) {
			command := exec.Command(c.binary, role)
			command.Env = []string{"FIGRING_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + c.dir}
			command.Stdout, command.Stderr = out, out
			c.mu.Lock()
			if c.ended {
				c.mu.Unlock()
				return
			}
			err := command.Start()
			c.processes[name] = command
			c.mu.Unlock()
			if err == nil {
				err = command.Wait()
				if !c.over() {
					c.record.note("%s ended: %v", name, err)
				}
			}
			time.Sleep(c.restartDelay)
		}
	}()
}

// remove takes the machine of a worker away for good, its minion included.
func (c *cluster) remove(place int) {
	name := sideName(place)
	c.mu.Lock()
	c.removed[name] = true
	c.mu.Unlock()
	c.record.note("the machine of %s and %s is removed for good", name, minionName(place))
	c.signal(name, syscall.SIGTERM)
	c.minions[place].Crash()
}

func (c *cluster) isRemoved(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.removed[name]
}

func (c *cluster) signal(name string, what syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if command := c.processes[name]; command != nil && command.Process != nil {
		_ = command.Process.Signal(what)
	}
	c.record.note("signal %v to %s", what, name)
}

// end ends all processes that were started.
func (c *cluster) end() {
	c.mu.Lock()
	c.ended = true
	for _, command := range c.processes {
		if command.Process != nil {
			_ = command.Process.Kill()
		}
	}
	c.mu.Unlock()
	c.done.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// awaitReady waits until all entries answer that they are ready.
func (c *cluster) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	client := &http.Client{Timeout: time.Second}
	for i := range c.zones {
		for {
			response, err := client.Get("http://" + c.address(10+i, 3) + "/-/ready")
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", entryName(i))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
