package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"banyanrun.example/banyanrun/bench"
	"banyanrun.example/banyanrun/core"
)

// Mix describes a load by the arrival rate of each kind.
type Mix struct {
	Name       string `json:"name"`
	Seed       uint64 `json:"seed"`
	DurationMS int64  `json:"duration_ms"`
	Rates      []Rate `json:"rates"`
}

// Rate is the arrival rate and mean run time of one kind.
type Rate struct {
	Team core.TeamName `json:"team"`
	Kind core.KindName `json:"kind"`
	// Call is set for interactive kinds, whose requests are sent as calls
	// instead of jobs.
	Call      bool    `json:"call,omitempty"`
	PerSecond float64 `json:"per_second"`
	// RunMS is the mean of the exponentially distributed run times.
	RunMS int64 `json:"run_ms"`
	// FromMS and UntilMS bound the arrival times. If UntilMS is zero, arrivals
	// end with the mix.
	FromMS  int64 `json:"from_ms,omitempty"`
	UntilMS int64 `json:"until_ms,omitempty"`
}

// maxArrivals bounds the arrivals of a mix, so that a wrong rate cannot exhaust
// memory.
const maxArrivals = 1_000_000

// ReadMix reads a mix from a JSON file. It rejects unknown fields.
func ReadMix(path string) (*Mix, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read mix: %w", err)
	}
	var m Mix
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&m); err != nil {
		return nil, fmt.Errorf("decode mix %s: %w", path, err)
	}
	return &m, m.check()
}

// check returns an error if a rate is invalid or the mix has too many arrivals
// or none.
func (m *Mix) check() error {
	total := 0.0
	for i, r := range m.Rates {
		until := m.until(r)
		if r.Team == "" || r.Kind == "" || !(r.PerSecond > 0) || r.RunMS < 1 || r.FromMS < 0 || until > m.DurationMS || r.FromMS >= until {
			return fmt.Errorf("mix %s: rate %d (%+v): team and kind are required, per_second and run_ms must be above zero, and the times must lie within duration_ms %d",
				m.Name, i, r, m.DurationMS)
		}
		total += r.PerSecond * float64(until-r.FromMS) / 1000
	}
	if total == 0 || total > maxArrivals {
		return fmt.Errorf("mix %s: it has %.0f arrivals; allowed: 1 to %d", m.Name, total, maxArrivals)
	}
	return nil
}

// until returns when the arrivals of a rate end.
func (m *Mix) until(r Rate) int64 {
	if r.UntilMS == 0 {
		return m.DurationMS
	}
	return r.UntilMS
}

// Arrivals draws Poisson arrivals for every rate. Each rate has its own random
// stream, so changing one rate leaves the arrivals of the others unchanged.
func (m *Mix) Arrivals() []Arrival {
	var out []Arrival
	for i, r := range m.Rates {
		rng := rand.New(rand.NewPCG(m.Seed, uint64(i)))
		t := float64(r.FromMS)
		for n := 0; ; n++ {
			t += rng.ExpFloat64() * 1000 / r.PerSecond
			if t >= float64(m.until(r)) {
				break
			}
			out = append(out, Arrival{
				ID: core.JobID(fmt.Sprintf("%s-%s-%d-%d", r.Team, r.Kind, i, n)), Team: r.Team, Kind: r.Kind,
				Interactive: r.Call, At: time.Duration(t * float64(time.Millisecond)),
				RunMS: 1 + int64(rng.ExpFloat64()*float64(r.RunMS)),
			})
		}
	}
	return out
}

// FromTrace converts the jobs of a trace to arrivals. Arrival, run and cancel
// times are divided by speed.
func FromTrace(t *bench.Trace, speed float64) ([]Arrival, error) {
	if !(speed > 0) {
		return nil, fmt.Errorf("speed is %g; allowed: above 0", speed)
	}
	scale := func(ms int64) time.Duration {
		return time.Duration(float64(ms) * float64(time.Millisecond) / speed)
	}
	var out []Arrival
	for i := range t.Jobs {
		j := &t.Jobs[i]
		out = append(out, Arrival{
			ID: j.ID, Team: j.Team, Kind: j.Kind, At: scale(j.AtMS),
			Interactive: t.Kind(j).Urgency == core.Interactive,
			RunMS:       max(1, scale(j.RunMS).Milliseconds()), Fails: j.Fails, CancelAt: scale(j.CancelMS),
		})
	}
	return out, nil
}
