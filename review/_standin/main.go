// Command review-standin plays one case of the review: it starts sidecar processes as the deploy
// file does, on loopback addresses, with a store, upstreams and clients of its own, and checks one
// rule. It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not
// run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// timeLimit bounds a run.
const timeLimit = 100 * time.Second

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by the name of their folder.
var cases = map[string]func(*run) (verdict, error){
	"1": notProcessedOfAnother,
	"2": pipelinedBehindBrokenAnswer,
	"3": lateHeartbeat,
}

// verdict is the result of a case: the rule was broken count times.
type verdict struct {
	rule  string
	count int
	// allowed is how often the rule allows it.
	allowed int
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, folder string) int {
	test := cases[name]
	if test == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	current, err := newRun(filepath.Join(folder, "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	defer current.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stopped:
		case <-time.After(timeLimit):
		}
		current.close()
		os.Exit(exitNotRun)
	}()
	found, err := test(current)
	if err != nil {
		current.note("NOT RUN: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	word, code := "held", exitHeld
	if found.count > found.allowed {
		word, code = "BROKEN", exitBroken
	}
	line := fmt.Sprintf("%s %s: %d times, %d allowed (trouble: %v)", found.rule, word, found.count, found.allowed, current.trouble)
	current.note("%s", line)
	fmt.Println(line)
	return code
}
