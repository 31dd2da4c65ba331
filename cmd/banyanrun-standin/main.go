// Command banyanrun-standin runs a stand-in for the platform and the workers.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"banyanrun.example/banyanrun/internal/cli"
	"banyanrun.example/banyanrun/standin"

	"github.com/rs/zerolog"
)

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	var s settings
	if code, ok := cli.Parse(&s, os.Args[1:]); !ok {
		os.Exit(code)
	}
	cfg, err := s.config()
	if err != nil {
		log.Fatal().Err(err).Msg("invalid setting")
	}
	level, err := s.logLevel()
	if err != nil {
		log.Fatal().Err(err).Msg("invalid setting")
	}
	log = log.Level(level)
	// Signals are caught before the ports open, so that none is missed.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	server, err := standin.Start(cfg)
	if err != nil {
		log.Fatal().Err(err).Msg("start failed")
	}
	log.Info().Str("store", server.StoreAddress()).Int("workers", len(server.Workers())).Msg("stand-in ready")
	for _, w := range server.Workers() {
		log.Debug().Str("worker", w.ID).Str("address", w.Address).Str("data_centre", w.DataCentre).Msg("worker ready")
	}
	received := <-stop
	server.Close()
	log.Info().Str("signal", received.String()).Msg("stand-in stopped")
}
