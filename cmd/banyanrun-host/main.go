// Command banyanrun-host is the scheduler process on the users' platform. It
// serves callers and, while it owns the cell, schedules the cell's jobs.
package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"banyanrun.example/banyanrun/host"
	"banyanrun.example/banyanrun/platform"
)

// memoryLimitFraction is the soft memory limit of the Go runtime as a fraction
// of the memory of the process. Near the limit the runtime collects garbage
// continuously. It has room for the state of the cell, the log and what clients hold.
// The rest is for socket buffers and the program itself.
const memoryLimitFraction = 0.66

const maxPort = 65535

type options struct {
	NodeFile    string `long:"node-file" env:"BANYANRUN_NODE_FILE" required:"true" description:"settings file that the platform writes"`
	MetricsPort int    `long:"metrics-port" env:"BANYANRUN_METRICS_PORT" default:"9464" description:"port of the metrics, 0 for none; they are also served on the address of the readiness check"`
	MemoryMB    int    `long:"memory-mb" env:"BANYANRUN_MEMORY_MB" default:"512" description:"memory in MiB that bounds what clients may hold, if the settings file names no memory limit; at least 64"`
	PeerListen  string `long:"peer-listen" env:"BANYANRUN_PEER_LISTEN" description:"address to listen on for other hosts, if a forwarder lies between it and the one in the settings file"`
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "banyanrun-host:", err)
		os.Exit(1)
	}
}

func run() error {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return nil
		}
		return err
	}
	if _, _, err := net.SplitHostPort(opts.PeerListen); opts.PeerListen != "" && err != nil {
		return &platform.SettingsError{Setting: "peer-listen", Value: opts.PeerListen, Allowed: "an address with a port"}
	}
	if opts.MetricsPort < 0 || opts.MetricsPort > maxPort {
		return &platform.SettingsError{Setting: "metrics-port", Value: opts.MetricsPort, Allowed: "0 to 65535"}
	}
	if opts.MemoryMB < host.MinMemoryMB {
		return &platform.SettingsError{Setting: "memory-mb", Value: opts.MemoryMB, Allowed: fmt.Sprintf("%d or more", host.MinMemoryMB)}
	}
	settings, err := platform.ReadSettings(opts.NodeFile)
	if err != nil {
		return err
	}
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB<<20) * memoryLimitFraction))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := host.New(settings, os.Stdout, host.Options{MetricsPort: opts.MetricsPort, Seed: seed(settings.Host), PeerListen: opts.PeerListen, MemoryMB: opts.MemoryMB})
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		for s := range signals {
			if s != syscall.SIGHUP {
				d.Stop(ctx)
			}
		}
	}()
	return d.Run(ctx)
}

// seed returns a random seed that differs between hosts and between restarts.
func seed(host string) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(host))
	return h.Sum64() ^ uint64(time.Now().UnixNano())
}
