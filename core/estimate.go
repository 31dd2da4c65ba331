package core

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRunTime is the longest run time that the histograms record; longer ones
	// count as this.
	maxRunTime = 48 * time.Hour
	// estimateDigits is the number of significant digits of the histograms. One
	// digit keeps a histogram near 4 KB.
	estimateDigits = 1
	// minSamples is the number of samples that an estimate needs before it replaces
	// the declared value.
	minSamples = 8
)

// kindEstimate estimates the actual resource use of a kind. Estimates affect the
// order of work and admission; an error in them cannot overcommit a worker.
type kindEstimate struct {
	runTime *hdrhistogram.Histogram
	// cpuShare is a moving average of the ratio of measured to declared processors,
	// and cpuReports the number of reports in it.
	cpuShare   float64
	cpuReports int
	// cachedRunTime is the value at cachedPercentile when the histogram had
	// cachedCount samples. It is cached because each query scans the histogram.
	cachedCount      int64
	cachedPercentile float64
	cachedRunTime    time.Duration
}

// estimates holds the estimates of all kinds.
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

// recordOutcome records the run time of an attempt that succeeded.
func (e *estimates) recordOutcome(j *job, rep *TaskReport) {
	if rep.State != ReportedSucceeded {
		return
	}
	ms := min(max(1, rep.RunTime.Milliseconds()), maxRunTime.Milliseconds())
	// RecordValue cannot fail: the value is within the histogram's range.
	_ = e.forJob(j).runTime.RecordValue(ms)
}

// recordUsage records the measured use of a task.
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

// overdeclaredCPU returns the share of the declared processors that tasks of j's
// kind use, if enough reports put it below one half.
func (e *estimates) overdeclaredCPU(j *job) (share float64, ok bool) {
	const half = 0.5
	k := e.byKind[queueKey{j.spec.Team, j.spec.Kind}]
	if k == nil || k.cpuReports < minSamples || k.cpuShare >= half {
		return 0, false
	}
	return k.cpuShare, true
}

// runTime returns a percentile of the observed run times of j's kind, or the
// declared run time while there are too few samples.
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

// rateMeter measures events per second, averaged over about rateWindow.
type rateMeter struct {
	rate      float64
	updatedAt Time
	events    int
}

// rateWindow is the time over which a rateMeter averages.
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

// recentRate returns the rate, or zero if it has not been updated recently.
func (m *rateMeter) recentRate(now Time) float64 {
	if now.Sub(m.updatedAt) > 2*rateWindow {
		return 0
	}
	return m.rate
}

// expectedWait estimates how long a job that joins the queue now would wait. It
// returns zero if there is no recent rate of starts.
func (k *kindQueue) expectedWait(now Time) time.Duration {
	if k.startRate.rate <= 0 || k.size == 0 || now.Sub(k.startRate.updatedAt) > 2*rateWindow {
		return 0
	}
	return time.Duration(float64(k.size) / k.startRate.rate * float64(time.Second))
}
