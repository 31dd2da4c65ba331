package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"banyanrun.example/banyanrun/standin"
	"banyanrun.example/banyanrun/standin/store"
	"banyanrun.example/banyanrun/wire"

	"github.com/rs/zerolog"
)

// settings are the flags and environment variables.
type settings struct {
	Listen         string        `long:"listen" env:"BANYANRUN_STANDIN_LISTEN" default:"127.0.0.1:7400" description:"ip:port of the store, the host list and the admin API"`
	WorkerIP       string        `long:"worker-ip" env:"BANYANRUN_STANDIN_WORKER_IP" default:"127.0.0.1" description:"IP address of the workers"`
	WorkerBasePort int           `long:"worker-base-port" env:"BANYANRUN_STANDIN_WORKER_BASE_PORT" default:"21000" description:"port of the first worker; 0 picks free ports"`
	Topology       string        `long:"topology" env:"BANYANRUN_STANDIN_TOPOLOGY" description:"topology file, such as examples/steinbruch/topology.json; without it three data centres of 16 workers"`
	Hosts          []string      `long:"host" env:"BANYANRUN_STANDIN_HOSTS" env-delim:";" description:"entry host as id,ip:port,data centre,region; repeatable"`
	ReadRate       float64       `long:"read-rate" env:"BANYANRUN_STANDIN_READ_RATE" default:"2000" description:"store reads per second; 0 is unlimited"`
	WriteRate      float64       `long:"write-rate" env:"BANYANRUN_STANDIN_WRITE_RATE" default:"400" description:"store writes per second; 0 is unlimited"`
	HostLag        time.Duration `long:"host-lag" env:"BANYANRUN_STANDIN_HOST_LAG" default:"1s" description:"lag of the host list"`
	UsageLag       time.Duration `long:"usage-lag" env:"BANYANRUN_STANDIN_USAGE_LAG" default:"5s" description:"age of a task at which its resource usage first appears"`
	Retain         time.Duration `long:"retain" env:"BANYANRUN_STANDIN_RETAIN" default:"2h" description:"how long a worker keeps an ended task"`
	DefaultRun     time.Duration `long:"default-run" env:"BANYANRUN_STANDIN_DEFAULT_RUN" default:"100ms" description:"run time of a task without a payload"`
	LogLevel       string        `long:"log-level" env:"BANYANRUN_STANDIN_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
}

// invalidSetting returns an error that names the setting, its value and the
// allowed values.
func invalidSetting(setting string, value any, allowed string) error {
	return fmt.Errorf("setting %s is %v; allowed: %s", setting, value, allowed)
}

// config validates the settings and returns the stand-in's configuration.
func (s *settings) config() (standin.Config, error) {
	if err := s.validate(); err != nil {
		return standin.Config{}, err
	}
	cfg := standin.Config{
		Topology: standin.DefaultTopology(), StoreAddress: s.Listen,
		WorkerIP: s.WorkerIP, WorkerBasePort: s.WorkerBasePort,
		Limits: store.Limits{Reads: s.ReadRate, Writes: s.WriteRate},
		Faults: store.Faults{HostLagMS: s.HostLag.Milliseconds()},

		UsageLag: s.UsageLag, Retention: s.Retain, DefaultRun: s.DefaultRun,
	}
	for _, text := range s.Hosts {
		host, err := parseHost(text)
		if err != nil {
			return cfg, err
		}
		cfg.Hosts = append(cfg.Hosts, host)
	}
	if s.Topology == "" {
		return cfg, nil
	}
	data, err := os.ReadFile(s.Topology)
	if err == nil {
		cfg.Topology, err = standin.ParseTopology(data)
	}
	if err != nil {
		return cfg, fmt.Errorf("%w: %w", invalidSetting("topology", s.Topology, "a readable topology file"), err)
	}
	return cfg, nil
}

// validate checks the settings that can be checked one by one, without files.
func (s *settings) validate() error {
	if host, _, err := net.SplitHostPort(s.Listen); err != nil || net.ParseIP(host) == nil {
		return invalidSetting("listen", s.Listen, "ip:port")
	}
	if net.ParseIP(s.WorkerIP) == nil {
		return invalidSetting("worker-ip", s.WorkerIP, "an IP address")
	}
	if s.WorkerBasePort < 0 || s.WorkerBasePort > 65535 {
		return invalidSetting("worker-base-port", s.WorkerBasePort, "0 to 65535")
	}
	for name, rate := range map[string]float64{"read-rate": s.ReadRate, "write-rate": s.WriteRate} {
		if rate != 0 && !(rate >= 1) {
			return invalidSetting(name, rate, "0, or at least 1 a second")
		}
	}
	for name, d := range map[string]time.Duration{"host-lag": s.HostLag, "usage-lag": s.UsageLag} {
		if d < 0 {
			return invalidSetting(name, d, "0s or more")
		}
	}
	for name, d := range map[string]time.Duration{"retain": s.Retain, "default-run": s.DefaultRun} {
		if d < time.Millisecond {
			return invalidSetting(name, d, "1ms or more")
		}
	}
	return nil
}

// logLevel parses the log level.
func (s *settings) logLevel() (zerolog.Level, error) {
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
		return zerolog.ParseLevel(s.LogLevel)
	}
	return zerolog.NoLevel, invalidSetting("log-level", s.LogLevel, "debug, info, warn, error")
}

// parseHost parses one --host value.
func parseHost(text string) (wire.ListedHost, error) {
	fields := strings.Split(text, ",")
	if len(fields) != 4 || fields[0] == "" || fields[2] == "" || fields[3] == "" {
		return wire.ListedHost{}, invalidSetting("host", text, "id,ip:port,data centre,region")
	}
	ip, _, err := net.SplitHostPort(fields[1])
	if err != nil || net.ParseIP(ip) == nil {
		return wire.ListedHost{}, invalidSetting("host", text, "id,ip:port,data centre,region")
	}
	return wire.ListedHost{ID: fields[0], Address: fields[1], DataCentre: fields[2], Region: fields[3]}, nil
}
