// Command fleet plays a case of the review: it starts the project's nodes as separate processes on loopback addresses,
// with small stand-ins of store, upstreams, clients and platform, and judges by what these have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	held, broken, notRun = 0, 1, 2
)

func main() {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "the file to write")
	command := flag.String("command", "target/kestrel-sidecar --metrics-port 9464", "the run line of the deploy file")
	flag.Parse()
	os.Exit(play(*name, *path, *command, os.Getenv("TROUBLE") != "0"))
}

func play(name, path, command string, trouble bool) int {
	played, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case:", name)
		return notRun
	}
	log, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer log.close()
	dir, err := os.MkdirTemp("", "kestrel-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer os.RemoveAll(dir)
	f, err := newFleet(log, dir, splitCommand(command), played.bounds())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.stop()
		os.Exit(notRun)
	}()
	violations, err := played.run(f, trouble)
	f.stop()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(dir))
	}
	if err != nil {
		log.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	for _, violation := range violations {
		log.add("BROKEN %s", violation)
	}
	log.add("trouble %v, violations %d", trouble, len(violations))
	fmt.Printf("%s: trouble %v, violations %d\n", name, trouble, len(violations))
	if len(violations) > 0 {
		fmt.Println(" ", violations[0])
		return broken
	}
	return held
}
