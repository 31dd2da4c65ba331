// Command banyanrun-demo submits the example work to an entry host in embedded
// mode and prints what became of it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"banyanrun.example/banyanrun/demo"
	"banyanrun.example/banyanrun/internal/cli"
)

// settings are the command's flags.
type settings struct {
	Entry    string        `long:"entry" default:"127.0.0.1:7600" description:"ip:port of the entry host"`
	Platform string        `long:"platform" default:"127.0.0.1:7400" description:"ip:port of the stand-in's admin API, which serves the workers' ledger"`
	Examples []string      `long:"example" required:"true" description:"folder of a deployment, such as those in examples; repeatable"`
	Limit    time.Duration `long:"limit" default:"55s" description:"time limit for the whole run"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var set settings
	if code, ok := cli.Parse(&set, args); !ok {
		return code
	}
	cfg := demo.Config{
		Entry: set.Entry, Platform: set.Platform, Out: os.Stdout,
		CallSuffix: "-" + strconv.FormatInt(time.Now().UnixMilli(), 36),
	}
	for _, dir := range set.Examples {
		example, err := demo.ReadExample(dir)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return cli.ExitUsage
		}
		cfg.Examples = append(cfg.Examples, example)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, set.Limit)
	defer cancel()
	code, err := demo.Run(ctx, cfg)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return max(code, 1)
	}
	return code
}
