package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// clockTick is the unit of processor times in /proc on Linux.
	clockTick = 10 * time.Millisecond
	// userTimeField and systemTimeField are positions in /proc/PID/stat after
	// the name in parentheses.
	userTimeField   = 11
	systemTimeField = 12
	kibibyte        = 1024
)

// Usage is what a process has used.
type Usage struct {
	// Processor is user and system time since its start.
	Processor time.Duration
	// Resident is the memory held now, in bytes.
	Resident int64
}

// Usage reads the usage of the process from /proc.
func (p *Process) Usage() (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return Usage{}, Error.Wrap(err)
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return Usage{}, Error.Wrap(err)
	}
	processor, err := parseStat(string(stat))
	if err != nil {
		return Usage{}, err
	}
	resident, err := parseResident(string(status))
	return Usage{Processor: processor, Resident: resident}, err
}

func parseStat(stat string) (time.Duration, error) {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= systemTimeField {
		return 0, Error.New("unknown form of /proc/PID/stat")
	}
	user, err := strconv.ParseInt(fields[userTimeField], 10, 64)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	system, err := strconv.ParseInt(fields[systemTimeField], 10, 64)
	return time.Duration(user+system) * clockTick, Error.Wrap(err)
}

func parseResident(status string) (int64, error) {
	for line := range strings.Lines(status) {
		value, found := strings.CutPrefix(line, "VmRSS:")
		if !found {
			continue
		}
		kibibytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		return kibibytes * kibibyte, Error.Wrap(err)
	}
	return 0, Error.New("no VmRSS in /proc/PID/status")
}
