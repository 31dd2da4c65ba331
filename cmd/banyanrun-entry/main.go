// Command banyanrun-entry is the daemon of one entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"banyanrun.example/banyanrun/embedded"
	"banyanrun.example/banyanrun/entry"
	"banyanrun.example/banyanrun/internal/cli"
)

// memoryLimitFraction is the soft memory limit of the Go runtime as a fraction of the
// memory of the machine. The rest is for socket buffers and the program itself.
const memoryLimitFraction = 0.66

// settings are the command's flags.
type settings struct {
	entry.Settings
	Embedded bool `long:"embedded" env:"BANYANRUN_EMBEDDED" description:"run the platform and workers in this process, to try the system on one machine; without certificate files and on loopback addresses it implies --insecure"`
	// The port is fixed by default, so that tools can read the workers' ledger.
	EmbeddedPlatform string `long:"embedded-platform" env:"BANYANRUN_EMBEDDED_PLATFORM" default:"127.0.0.1:7400" description:"ip:port of the embedded platform and of its admin API"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var set settings
	if code, ok := cli.Parse(&set, args); !ok {
		return code
	}
	level, err := zerolog.ParseLevel(set.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, &entry.SettingError{Setting: "log-level", Value: set.LogLevel, Allowed: "debug, info, warn, error"})
		return cli.ExitUsage
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if set.Embedded {
		platform, err := embedded.Start(&set.Settings, set.EmbeddedPlatform)
		if err != nil {
			log.Error().Err(err).Msg("embedded platform did not start")
			return 1
		}
		defer platform.Close()
	}
	if err := set.Check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cli.ExitUsage
	}
	debug.SetMemoryLimit(int64(float64(set.MemoryMB<<20) * memoryLimitFraction))
	daemon, err := entry.New(set.Settings, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cli.ExitUsage
	}
	started := time.Now()
	if err := daemon.Run(ctx); err != nil {
		log.Error().Err(err).Msg("stopped")
		return 1
	}
	log.Info().Dur("uptime", time.Since(started)).Msg("stopped")
	return 0
}
