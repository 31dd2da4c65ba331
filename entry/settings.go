// Package entry implements the daemon of an entry host: the HTTP API for callers,
// operators and peers, and the execution of the reducer's effects.
//
// All control state is in core.Reducer, which a single goroutine steps. Handlers
// post events and wait for replies; they make no decisions about jobs.
package entry

import (
	"fmt"
	"net"
	"strings"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/keys"
)

// defaultKeysCheckInterval is the default interval between checks of the
// certificate files for changes.
const defaultKeysCheckInterval = 10 * time.Second

// defaultMemoryMB is the memory if the setting is 0. The bound on callers then has room
// for the connections that are allowed by default.
const defaultMemoryMB = 2048

// Allowed values of the memory, in MiB. With less, the largest batch could not be served.
const minMemoryMB, maxMemoryMB = 128, 1 << 20

// Settings are the daemon's settings. go-flags reads the struct tags.
type Settings struct {
	Host       string `long:"host" env:"BANYANRUN_HOST" description:"name of this entry host, unique among all entry hosts"`
	Listen     string `long:"listen" env:"BANYANRUN_LISTEN" default:"127.0.0.1:7600" description:"ip:port of the HTTP API for callers, operators and peers"`
	PeerListen string `long:"peer-listen" env:"BANYANRUN_PEER_LISTEN" description:"ip:port for peers only, whose connections do not count towards --max-connections; --listen if empty"`
	Advertise  string `long:"advertise" env:"BANYANRUN_ADVERTISE" description:"ip:port at which peers reach this host; --peer-listen if empty"`
	DataCentre string `long:"data-centre" env:"BANYANRUN_DATA_CENTRE" description:"data centre of this host"`
	Region     string `long:"region" env:"BANYANRUN_REGION" description:"region of this host; --data-centre if empty"`
	Platform   string `long:"platform" env:"BANYANRUN_PLATFORM" description:"ip:port of the platform, which provides the store and the host list"`

	OwnerLease  time.Duration `long:"owner-lease" env:"BANYANRUN_OWNER_LEASE" default:"6s" description:"time to live of the owner's lease in the store"`
	TaskLease   time.Duration `long:"task-lease" env:"BANYANRUN_TASK_LEASE" default:"30s" description:"how long a worker keeps tasks running without a sync"`
	SyncWait    time.Duration `long:"sync-wait" env:"BANYANRUN_SYNC_WAIT" default:"10s" description:"maximum duration of the long poll of a sync"`
	JournalRate float64       `long:"journal-rate" env:"BANYANRUN_JOURNAL_RATE" default:"4" description:"maximum average number of journal writes per second"`

	StoreTimeout  time.Duration `long:"store-timeout" env:"BANYANRUN_STORE_TIMEOUT" default:"2s" description:"timeout of a store operation"`
	WorkerTimeout time.Duration `long:"worker-timeout" env:"BANYANRUN_WORKER_TIMEOUT" default:"5s" description:"timeout of a start or signal request to a worker"`
	DrainTimeout  time.Duration `long:"drain-timeout" env:"BANYANRUN_DRAIN_TIMEOUT" default:"60s" description:"maximum duration of a graceful shutdown"`
	MaxRequests   int           `long:"max-requests" env:"BANYANRUN_MAX_REQUESTS" default:"4096" description:"maximum number of caller requests in progress"`

	MaxConnections int `long:"max-connections" env:"BANYANRUN_MAX_CONNECTIONS" description:"maximum number of open connections; a further one replaces the connection that holds most for longest, or is closed immediately if all wait for answers; twice --max-requests if 0"`
	MemoryMB       int `long:"memory-mb" env:"BANYANRUN_MEMORY_MB" description:"memory of the machine in MiB, of which callers hold at most 40% and other hosts 15%; 2048 if 0"`

	Cert      string        `long:"cert" env:"BANYANRUN_CERT" description:"PEM file with this host's certificate"`
	Key       string        `long:"key" env:"BANYANRUN_KEY" description:"PEM file with the private key of the certificate"`
	CA        string        `long:"ca" env:"BANYANRUN_CA" description:"PEM file with the certificate authorities that verify peers, operators and callers"`
	KeysCheck time.Duration `long:"keys-check" env:"BANYANRUN_KEYS_CHECK" description:"interval between checks of these files for changes; 10s if 0"`
	Insecure  bool          `long:"insecure" env:"BANYANRUN_INSECURE" description:"serve without TLS and without access control"`

	Seed     uint64 `long:"seed" env:"BANYANRUN_SEED" description:"seed of the reducer's random number generator; the start time if 0"`
	Record   string `long:"record" env:"BANYANRUN_RECORD" description:"file to which all events and effects are recorded, for banyanrun-replay"`
	LogLevel string `long:"log-level" env:"BANYANRUN_LOG_LEVEL" default:"info" description:"minimum level of log lines: debug, info, warn or error"`
}

// SettingError reports a setting whose value is not allowed.
type SettingError struct {
	Setting string
	Value   string
	Allowed string
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting --%s: %q is not allowed; allowed: %s", e.Setting, e.Value, e.Allowed)
}

// Check fills in derived settings and returns an error for the first setting
// whose value is not allowed.
func (s *Settings) Check() error {
	if s.PeerListen == "" {
		s.PeerListen = s.Listen
	}
	if s.Advertise == "" {
		s.Advertise = s.PeerListen
	}
	if s.Region == "" {
		s.Region = s.DataCentre
	}
	for _, name := range []struct{ setting, value string }{
		{"host", s.Host}, {"data-centre", s.DataCentre}, {"region", s.Region},
	} {
		if name.value == "" || strings.ContainsAny(name.value, "/ \t\n") {
			return &SettingError{name.setting, name.value, "a non-empty name without slashes or spaces"}
		}
	}
	for _, a := range []struct{ setting, value string }{
		{"listen", s.Listen}, {"peer-listen", s.PeerListen}, {"advertise", s.Advertise}, {"platform", s.Platform},
	} {
		host, _, err := net.SplitHostPort(a.value)
		if err != nil || net.ParseIP(host) == nil {
			return &SettingError{a.setting, a.value, "ip:port"}
		}
	}
	if err := s.checkKeyFiles(); err != nil {
		return err
	}
	return s.checkNumbers()
}

// Files returns the paths of the certificate, key and CA files.
func (s *Settings) Files() keys.Files { return keys.Files{Cert: s.Cert, Key: s.Key, CA: s.CA} }

// checkKeyFiles requires either all certificate files or --insecure.
func (s *Settings) checkKeyFiles() error {
	switch files := s.Files(); {
	case s.Insecure && files.AnySet():
		return &SettingError{"insecure", "true", "false, or true without --cert, --key and --ca"}
	case !s.Insecure && !files.AllSet():
		return &SettingError{
			"cert, --key, --ca", strings.Join([]string{s.Cert, s.Key, s.CA}, ","),
			"a file for each (BANYANRUN_CERT, BANYANRUN_KEY, BANYANRUN_CA), or --insecure (BANYANRUN_INSECURE) to serve without TLS",
		}
	}
	if s.KeysCheck == 0 {
		s.KeysCheck = defaultKeysCheckInterval
	}
	return nil
}

// checkNumbers checks the ranges of durations and counts.
func (s *Settings) checkNumbers() error {
	for _, d := range []struct {
		setting          string
		value            time.Duration
		minimum, maximum time.Duration
	}{
		{"owner-lease", s.OwnerLease, 2 * time.Second, time.Minute},
		{"task-lease", s.TaskLease, 2 * time.Second, 10 * time.Minute},
		{"sync-wait", s.SyncWait, 100 * time.Millisecond, time.Minute},
		{"store-timeout", s.StoreTimeout, 10 * time.Millisecond, time.Minute},
		{"worker-timeout", s.WorkerTimeout, 10 * time.Millisecond, time.Minute},
		{"keys-check", s.KeysCheck, 10 * time.Millisecond, time.Hour},
		{"drain-timeout", s.DrainTimeout, time.Second, time.Hour},
	} {
		if d.value < d.minimum || d.value > d.maximum {
			return &SettingError{d.setting, d.value.String(), fmt.Sprintf("%s to %s", d.minimum, d.maximum)}
		}
	}
	if s.SyncWait >= s.TaskLease {
		return &SettingError{"sync-wait", s.SyncWait.String(), "less than --task-lease"}
	}
	if s.JournalRate < 0.1 || s.JournalRate > 100 {
		return &SettingError{"journal-rate", fmt.Sprint(s.JournalRate), "0.1 to 100"}
	}
	if s.MaxRequests < 1 || s.MaxRequests > 1<<20 {
		return &SettingError{"max-requests", fmt.Sprint(s.MaxRequests), "1 to 1048576"}
	}
	if s.MaxConnections == 0 {
		s.MaxConnections = 2 * s.MaxRequests
	}
	if s.MemoryMB == 0 {
		s.MemoryMB = defaultMemoryMB
	}
	if s.MemoryMB < minMemoryMB || s.MemoryMB > maxMemoryMB {
		return &SettingError{"memory-mb", fmt.Sprint(s.MemoryMB), fmt.Sprintf("%d to %d", minMemoryMB, maxMemoryMB)}
	}
	if s.MaxConnections < 1 || s.MaxConnections > 1<<21 {
		return &SettingError{"max-connections", fmt.Sprint(s.MaxConnections), "1 to 2097152"}
	}
	return nil
}

// reducerConfig converts the settings to the reducer's configuration.
func (s *Settings) reducerConfig(started time.Time) core.Config {
	seed := s.Seed
	if seed == 0 {
		seed = uint64(started.UnixNano())
	}
	return core.Config{
		Host: core.HostID(s.Host), Address: s.Advertise,
		DataCentre: core.DataCentre(s.DataCentre), Region: core.Region(s.Region),
		Incarnation: uint64(started.UnixNano()), Seed: seed,
		OwnerLease: s.OwnerLease, TaskLease: s.TaskLease, SyncWait: s.SyncWait,
		JournalRate: s.JournalRate,
	}
}
