package scale

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// processUse is what one process used of the machine up to now.
type processUse struct {
	processor time.Duration
	// resident and peak are bytes of memory.
	resident, peak uint64
}

// pidsFile holds a line "name pid" for each process the script started.
const pidsFile = "pids"

func readPids(directory string) (map[string]int, error) {
	content, err := os.ReadFile(filepath.Join(directory, pidsFile))
	if err != nil {
		return nil, trace.Wrap(err, "read pids")
	}
	pids := map[string]int{}
	for line := range strings.Lines(string(content)) {
		var name string
		var pid int
		if _, err := fmt.Sscan(line, &name, &pid); err != nil {
			return nil, trace.Wrap(err, "read pids: line %q", strings.TrimSpace(line))
		}
		pids[name] = pid
	}
	return pids, nil
}

func readProcess(pid int) (processUse, error) {
	directory := filepath.Join("/proc", strconv.Itoa(pid))
	status, err := os.ReadFile(filepath.Join(directory, "status"))
	if err != nil {
		return processUse{}, trace.Wrap(err, "process %d", pid)
	}
	stat, err := os.ReadFile(filepath.Join(directory, "stat"))
	if err != nil {
		return processUse{}, trace.Wrap(err, "process %d", pid)
	}
	used := processUse{resident: kilobytesOf(string(status), "VmRSS:"), peak: kilobytesOf(string(status), "VmHWM:")}
	used.processor, err = processorTime(string(stat))
	return used, err
}

// kilobytesOf returns a field of /proc/PID/status in bytes.
func kilobytesOf(status, field string) uint64 {
	for line := range strings.Lines(status) {
		if rest, found := strings.CutPrefix(line, field); found {
			amount, _ := strconv.ParseUint(strings.Fields(rest)[0], 10, 64)
			return amount * 1024
		}
	}
	return 0
}

// processorTime returns user and system time from /proc/PID/stat.
func processorTime(stat string) (time.Duration, error) {
	const (
		userField, systemField = 11, 12
		tick                   = 10 * time.Millisecond
	)
	// The name, in parentheses, may hold anything.
	fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	if len(fields) <= systemField {
		return 0, trace.BadParameter("malformed process statistics %q", stat)
	}
	user, err := strconv.ParseInt(fields[userField], 10, 64)
	if err != nil {
		return 0, trace.Wrap(err, "user time")
	}
	system, err := strconv.ParseInt(fields[systemField], 10, 64)
	return time.Duration(user+system) * tick, trace.Wrap(err, "system time")
}
