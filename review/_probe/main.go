// Program probe plays the cases of review/ against the project's own processes, with stand-ins of the
// platform, the upstreams and the clients.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

const (
	exitHeld, exitBroken, exitCannot = 0, 1, 2
)

// bed is the set-up of one case.
type bed struct {
	folder, network, run string
	machines             int
	trouble              bool
	begun                time.Time

	mu        sync.Mutex // guards all below
	record    *os.File
	processes []*exec.Cmd
}

var current *bed

func (b *bed) track(process *exec.Cmd) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.processes = append(b.processes, process)
}

// note writes a line to the record.
func (b *bed) note(format string, arguments ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.begun).Seconds(), fmt.Sprintf(format, arguments...))
}

// at returns a moment as it stands in the record.
func (b *bed) at(moment time.Time) string { return fmt.Sprintf("%.3f", moment.Sub(b.begun).Seconds()) }

func (b *bed) finish(code int) {
	b.mu.Lock()
	for _, process := range b.processes {
		_ = process.Process.Kill()
	}
	b.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.folder)
	}
	_ = b.record.Close()
	os.Exit(code)
}

func cannotRun(format string, arguments ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", arguments...)
	if current != nil {
		current.note("cannot run: "+format, arguments...)
		current.finish(exitCannot)
	}
	os.Exit(exitCannot)
}

var cases = map[string]func(*bed) (broken bool, summary string){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		cannotRun("usage: probe CASE NODE-COMMAND RECORD")
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("%v", err)
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		cannotRun("%v", err)
	}
	folder, _ = filepath.Abs(folder)
	b := &bed{folder: folder, run: os.Args[2], record: record, trouble: os.Getenv("TROUBLE") != "0", begun: time.Now()}
	current = b
	b.network = freeNetwork()
	time.AfterFunc(110*time.Second, func() { cannotRun("the case takes too long") })
	broken, summary := cases[os.Args[1]](b)
	b.note("%s", summary)
	fmt.Println(summary)
	if broken {
		b.finish(exitBroken)
	}
	b.finish(exitHeld)
}

type object = map[string]any

func routeOf(name, host, prefix, kind, service string, timeoutMS, aimMS, attempts int) object {
	spec := object{
		"host": host, wire["prefix"]: prefix, wire["type"]: kind, wire["target latency"]: aimMS,
		"priority": 1, "service": service, wire["attempts"]: attempts,
	}
	if timeoutMS > 0 {
		spec["timeout_ms"] = timeoutMS
	}
	return object{wire["kind"]: "routes", "metadata": object{"name": name}, "spec": spec}
}

func serviceOf(name string) object {
	return object{wire["kind"]: "services", "metadata": object{"name": name}, "spec": object{
		"health_path": "/healthz", "max_connections": 130, "protocol": "h1", "tls": false,
	}}
}

func limitsOf() object {
	return object{wire["kind"]: "limits", "metadata": object{}, "spec": object{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}}
}

func configuration(version int, resources ...object) []byte {
	raw, _ := json.Marshal(object{"version": fmt.Sprintf("%08x", version), "resources": resources})
	return raw
}
