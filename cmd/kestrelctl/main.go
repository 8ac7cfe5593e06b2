// Command kestrelctl is the operators' client of the resource API.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/kestrelstream/kestrelstream/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], ctl.Streams{Input: os.Stdin, Output: os.Stdout, Errors: os.Stderr})
	stop()
	os.Exit(code)
}
