package processes

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"banyanrun.example/banyanrun/integration/cluster"
)

// maxOpenSubmits bounds the submits in progress. Submits beyond it are skipped and
// counted.
const maxOpenSubmits = 256

// lastJobNumber makes job ids unique.
var lastJobNumber atomic.Int64

// steadyLoad submits jobs round-robin to a set of hosts at a fixed rate until it is
// stopped, regardless of the responses.
type steadyLoad struct {
	stop       chan struct{}
	goroutines conc.WaitGroup
	skipped    atomic.Int64
	sent       atomic.Int64
}

// startLoad starts a steady load of perSecond jobs per second. It calls hosts for
// each job.
func startLoad(c *cluster.Cluster, hosts func() []*cluster.Host, perSecond float64, run time.Duration) *steadyLoad {
	l := &steadyLoad{stop: make(chan struct{})}
	slots := make(chan struct{}, maxOpenSubmits)
	l.goroutines.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-l.stop:
				return
			case <-ticker.C:
			}
			select {
			case slots <- struct{}{}:
			default:
				l.skipped.Add(1)
				continue
			}
			l.sent.Add(1)
			id, list := fmt.Sprintf("job-%d", lastJobNumber.Add(1)), hosts()
			k := n % len(list)
			order := append(append([]*cluster.Host{}, list[k:]...), list[:k]...)
			l.goroutines.Go(func() {
				defer func() { <-slots }()
				// The error is ignored: Submit records the job in the
				// cluster.History before sending it, and
				// ClearFaultsAndCheck waits at the end of the run for every
				// outcome that is still unknown.
				_ = c.Submit(order, id, cluster.KindBatch, run)
			})
		}
	})
	return l
}

// stopAndWait stops the load and waits for the submits in progress.
func (l *steadyLoad) stopAndWait() {
	close(l.stop)
	l.goroutines.Wait()
}
