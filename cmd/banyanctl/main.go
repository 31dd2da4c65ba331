// Command banyanctl is the command line tool for operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"banyanrun.example/banyanrun/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Main(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}
