package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The size of the deployment, the spare machines for entries, and the names of the zones.
const (
	entryCount   = 3
	spareEntries = 2
	sidecarCount = 11
)

var zones = []string{"tt-south-a", "tt-south-b", "tt-south-c"}

// The host numbers of the machines, and the offsets of their ports.
const (
	entryHost, sidecarHost, storeHost = 10, 50, 200

	rpcPort, frontPort, readyPort, controlPort, statusPort, appPort = 0, 1, 2, 3, 4, 5
	portsNeeded                                                     = 6
)

// startLimit bounds the start of the deployment.
const startLimit = 20 * time.Second

// cluster is a deployment: the project's processes, and the stand-ins for the store and
// the minions.
type cluster struct {
	record  *record
	ledger  *ledger
	store   *store
	minions []*minion
	dir     string
	binary  string
	network string
	port    int

	mu        sync.Mutex
	processes map[string]*exec.Cmd
	ending    bool
	// endedItself is told of each process that has ended by itself.
	endedItself func(name string)
}

// newCluster starts a deployment whose manifest has the routes.
func newCluster(record *record, binary string, routes []route) (*cluster, error) {
	dir, err := os.MkdirTemp("", "figring-review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: record, ledger: newLedger(), store: newStore(record), dir: dir, binary: binary, processes: make(map[string]*exec.Cmd)}
	if err := c.findNetwork(); err != nil {
		return nil, err
	}
	for _, name := range allNames() {
		if err := c.store.serve(name, c.storeAddress(name)); err != nil {
			return nil, err
		}
	}
	c.store.put("op", "config", manifest(1, routes))
	for i := range sidecarCount {
		m := newMinion(fmt.Sprintf("i-%08x", 0x7f3a0000+i), []string{"a", fmt.Sprintf("r1-%d", i/3)}, c.ledger)
		if err := m.serve(c.address(sidecarHost+i, appPort), zones[i%len(zones)], c.address(sidecarHost+i, controlPort)); err != nil {
			return nil, err
		}
		c.minions = append(c.minions, m)
		if err := c.start(sidecarName(i)); err != nil {
			return nil, err
		}
	}
	for i := range entryCount {
		if err := c.start(entryName(i)); err != nil {
			return nil, err
		}
	}
	return c, c.awaitReady()
}

func entryName(i int) string   { return fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i/len(zones)+1) }
func sidecarName(i int) string { return fmt.Sprintf("side-%s-%d", zones[i%len(zones)], i/len(zones)+1) }

// allNames returns the names of all processes, those on spare machines included.
func allNames() []string {
	var names []string
	for i := range entryCount + spareEntries {
		names = append(names, entryName(i))
	}
	for i := range sidecarCount {
		names = append(names, sidecarName(i))
	}
	return names
}

// storeAddress returns the address at which a process reaches the store.
func (c *cluster) storeAddress(name string) string {
	return c.address(storeHost+slices.Index(allNames(), name), rpcPort)
}

// route is a queue in the manifest.
type route struct {
	name, prefix       string
	priority, attempts int
}

// host is the name in the Host header of all routes.
const host = "nony24.example"

// manifest returns the operator's configuration with the figures of cjpa-figring.
func manifest(version int, routes []route) map[string]any {
	rows := []map[string]any{}
	for _, r := range routes {
		rows = append(rows, map[string]any{
			"name": r.name, "host": host, "prefix": r.prefix, "type": "unsafe", "timeout_ms": 1500, "slo_ms": 60,
			"priority": r.priority, "service": minionService, "attempts": r.attempts, "stretch": 1.6,
		})
	}
	return map[string]any{
		"version": version, "routes": rows,
		"services": []map[string]any{{"name": minionService, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "enforces_capacity": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func (c *cluster) address(hostNumber, offset int) string {
	return fmt.Sprintf("%s.%d:%d", c.network, hostNumber, c.port+offset)
}

// findNetwork chooses a part of the loopback network and ports that are free in it.
func (c *cluster) findNetwork() error {
	for range 50 {
		c.network = fmt.Sprintf("127.%d.%d", 10+rand.N(200), 1+rand.N(250))
		c.port = 20000 + rand.N(10000)
		if c.free() {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (c *cluster) free() bool {
	for offset := range portsNeeded {
		for _, number := range []int{entryHost, sidecarHost, storeHost} {
			listener, err := net.Listen("tcp", c.address(number, offset))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// settings returns the role and the settings of a process, as the templates in deploy/
// make them.
func (c *cluster) settings(name string) (string, map[string]any) {
	role, number, zone := "", 0, ""
	seeds := []string{}
	for i := range entryCount + spareEntries {
		if i < entryCount {
			seeds = append(seeds, c.address(entryHost+i, controlPort))
		}
		if entryName(i) == name {
			role, number, zone = "dispatcher", entryHost+i, zones[i%len(zones)]
		}
	}
	for i := range sidecarCount {
		if sidecarName(i) == name {
			role, number, zone = "executor", sidecarHost+i, zones[i%len(zones)]
		}
	}
	filled := map[string]any{
		"name": name, "zone": zone, "rpcListen": c.address(number, rpcPort), "statusListen": c.address(number, statusPort),
		"seeds": seeds, "table": c.storeAddress(name), "secret": "figring-internal-link", "stopGrace": "6s",
	}
	if role == "dispatcher" {
		filled["callersListen"], filled["readyListen"] = c.address(number, frontPort), c.address(number, readyPort)
		filled["partWritesPerSecond"] = partWritesPerSec
		return role, filled
	}
	filled["reportsListen"], filled["minion"] = c.address(number, controlPort), c.address(number, appPort)
	return role, filled
}

// start starts a process by the command of the deploy file.
func (c *cluster) start(name string) error {
	role, filled := c.settings(name)
	encoded, err := json.Marshal(filled)
	if err != nil {
		return err
	}
	path := filepath.Join(c.dir, name+".jsonc")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(c.binary, role)
	command.Env = []string{"FIGRING_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + c.dir}
	command.Stdout, command.Stderr = log, log
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return nil
	}
	if err := command.Start(); err != nil {
		return err
	}
	c.processes[name] = command
	go func() {
		_ = command.Wait()
		_ = log.Close()
		c.ended(name, command)
	}()
	return nil
}

// ended records the end of a process that the case did not kill.
func (c *cluster) ended(name string, command *exec.Cmd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending && c.processes[name] == command {
		c.record.say("%s has ended by itself: %s", name, command.ProcessState)
		delete(c.processes, name)
		if c.endedItself != nil {
			go c.endedItself(name)
		}
	}
}

// onEnded sets what is told of each process that has ended by itself.
func (c *cluster) onEnded(told func(name string)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endedItself = told
}

// kill ends a process with SIGKILL and starts it again after the pause.
func (c *cluster) kill(name string, pause time.Duration) { c.replace(name, name, pause) }

// replace ends a process with SIGKILL, and starts another, or the same again, after the
// pause.
func (c *cluster) replace(name, successor string, pause time.Duration) {
	c.mu.Lock()
	command := c.processes[name]
	delete(c.processes, name)
	c.mu.Unlock()
	if command == nil {
		return
	}
	c.record.say("%s is killed (SIGKILL)", name)
	_ = command.Process.Signal(syscall.SIGKILL)
	time.AfterFunc(pause, func() {
		c.record.say("%s starts", successor)
		if err := c.start(successor); err != nil {
			c.record.say("%s can't start: %v", successor, err)
		}
	})
}

// awaitReady waits until all entries report that they are ready.
func (c *cluster) awaitReady() error {
	deadline := time.Now().Add(startLimit)
	client := &http.Client{Timeout: time.Second}
	for i := range entryCount {
		for {
			response, err := client.Get("http://" + c.address(entryHost+i, readyPort) + "/-/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", entryName(i), startLimit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	c.record.say("the deployment is ready: %d entries, %d sidecars", entryCount, sidecarCount)
	return nil
}

// end kills all processes that the case started.
func (c *cluster) end() {
	c.mu.Lock()
	c.ending = true
	for _, command := range c.processes {
		_ = command.Process.Kill()
	}
	c.mu.Unlock()
	if os.Getenv("KEEP_LOGS") == "" {
		time.Sleep(200 * time.Millisecond)
		_ = os.RemoveAll(c.dir)
		return
	}
	fmt.Println("logs:", c.dir)
}
