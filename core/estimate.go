package core

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestRunTime is the greatest run time that the histograms tell apart.
	maxRunTime = 48 * time.Hour
	// estimateDigits is the precision of the histograms. One digit keeps a
	// histogram near 4 KB.
	estimateDigits = 1
	// leastSamples is how many outcomes an estimate needs before it replaces
	// the declared figure.
	minSamples = 8
)

// kindEstimate learns the true figures of a kind. They order work and bound
// admission; they never let a worker hold more than it has.
type kindEstimate struct {
	runTime *hdrhistogram.Histogram
	// usedShare is a moving average of measured over declared processors, and
	// usedReports counts the reports in it.
	cpuShare   float64
	cpuReports int
	// known and value cache the percentile asked for last, by the number of
	// outcomes. Each look at a histogram walks it.
	cachedCount      int64
	cachedPercentile float64
	cachedRunTime    time.Duration
}

// estimates holds one estimate a kind.
type estimates struct{ byKind map[queueKey]*kindEstimate }

func newEstimates() estimates { return estimates{byKind: map[queueKey]*kindEstimate{}} }

func (e *estimates) forJob(j *job) *kindEstimate {
	key := queueKey{j.spec.Team, j.spec.Kind}
	k := e.byKind[key]
	if k == nil {
		k = &kindEstimate{
			runTime: hdrhistogram.New(1, maxRunTime.Milliseconds(), estimateDigits),
		}
		e.byKind[key] = k
	}
	return k
}

// noteEnd records the run time of an attempt that ran to its end.
func (e *estimates) recordOutcome(j *job, rep *TaskReport) {
	if rep.State != ReportedSucceeded {
		return
	}
	ms := min(max(1, rep.RunTime.Milliseconds()), maxRunTime.Milliseconds())
	// The value is within the histogram's range.
	_ = e.forJob(j).runTime.RecordValue(ms)
}

// noteUse records measured use.
func (e *estimates) recordUsage(j *job, used Resources) {
	const weight = 0.1
	if j.kind.Request.MilliCPU == 0 || used.MilliCPU == 0 {
		return
	}
	k := e.forJob(j)
	share := float64(used.MilliCPU) / float64(j.kind.Request.MilliCPU)
	if k.cpuReports++; k.cpuReports == 1 {
		k.cpuShare = share
	}
	k.cpuShare += weight * (share - k.cpuShare)
}

// overstated returns the part of the declared processors that tasks of j's kind
// use, if it is less than half by enough reports.
func (e *estimates) overdeclaredCPU(j *job) (share float64, ok bool) {
	const half = 0.5
	k := e.byKind[queueKey{j.spec.Team, j.spec.Kind}]
	if k == nil || k.cpuReports < minSamples || k.cpuShare >= half {
		return 0, false
	}
	return k.cpuShare, true
}

// runTime is the time that a task of j takes, by outcomes or as declared.
func (e *estimates) runTime(j *job, percentile float64) time.Duration {
	k := e.byKind[queueKey{j.spec.Team, j.spec.Kind}]
	if k == nil || k.runTime.TotalCount() < minSamples {
		return j.kind.RunTime
	}
	if n := k.runTime.TotalCount(); k.cachedCount != n || k.cachedPercentile != percentile {
		k.cachedCount, k.cachedPercentile = n, percentile
		k.cachedRunTime = time.Duration(k.runTime.ValueAtPercentile(percentile)) * time.Millisecond
	}
	return k.cachedRunTime
}

// rateMeter measures events per second over about the last ten seconds.
type rateMeter struct {
	rate      float64
	updatedAt Time
	events    int
}

// meterWindow is the time over which a rateMeter averages.
const rateWindow = 10 * time.Second

// add counts one event.
func (m *rateMeter) add(now Time) {
	m.events++
	if m.updatedAt == 0 {
		m.updatedAt = now
		return
	}
	if elapsed := now.Sub(m.updatedAt); elapsed >= time.Second {
		weight := min(1, elapsed.Seconds()/rateWindow.Seconds())
		m.rate += weight * (float64(m.events)/elapsed.Seconds() - m.rate)
		m.events, m.updatedAt = 0, now
	}
}

// recent is the rate, or zero if no event was added lately.
func (m *rateMeter) recentRate(now Time) float64 {
	if now.Sub(m.updatedAt) > 2*rateWindow {
		return 0
	}
	return m.rate
}

// expectedWait is how long a job that joins the queue now would wait, or zero
// when nothing is known.
func (k *kindQueue) expectedWait(now Time) time.Duration {
	if k.startRate.rate <= 0 || k.size == 0 || now.Sub(k.startRate.updatedAt) > 2*rateWindow {
		return 0
	}
	return time.Duration(float64(k.size) / k.startRate.rate * float64(time.Second))
}
