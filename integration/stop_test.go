package integration

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"banyanrun.example/banyanrun/integration/cluster"
)

// hostList is the list of hosts that callers use. It changes while hosts are
// replaced.
type hostList struct {
	mu    sync.Mutex
	hosts []*cluster.Host
}

func (l *hostList) get() []*cluster.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*cluster.Host{}, l.hosts...)
}

func (l *hostList) set(hosts []*cluster.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = append([]*cluster.Host{}, hosts...)
}

// Guards against requests that fail while all hosts are replaced one by one.
// Callers try another host only if the connection was refused.
func TestRollingReplacementFailsNoRequest(t *testing.T) {
	c := startCluster(t, 201, 1, 3)
	c.WaitForOwner("a")
	var list hostList
	list.set(c.Hosts)
	var done atomic.Bool
	var load conc.WaitGroup
	load.Go(func() {
		more := func() bool { return !done.Load() }
		for _, o := range callWhile(c, list.get, more) {
			if !o.Answered {
				t.Errorf("call %s failed: %v", o.ID, o.Err)
			}
		}
	})
	load.Go(func() {
		kinds := []string{cluster.KindBatch, cluster.KindBilled}
		for n := 0; !done.Load(); n++ {
			id := fmt.Sprintf("rolling-%d", n)
			if err := c.Submit(list.get(), id, kinds[n%2], 500*time.Millisecond); err != nil {
				t.Errorf("submit failed: %v", err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	for _, oldHost := range append([]*cluster.Host{}, c.Hosts...) {
		newHost := c.AddHost(oldHost.DataCentre)
		c.WaitUntil("the new host is ready", newHost.Ready)
		oldHost.MarkLeaving()
		oldHost.Stop()
		oldHost.Remove()
		list.set(c.Hosts)
	}
	done.Store(true)
	load.Wait()
	c.ClearFaultsAndCheck()
}

// Guards against a planned stop that interrupts calls, submissions or waits in
// progress.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	t.Parallel()
	for _, which := range []string{"the owner", "another host"} {
		t.Run("SIGTERM to "+which, func(t *testing.T) {
			c := startCluster(t, 202, 1, 2)
			stopped := c.WaitForOwner("a")
			if which != "the owner" {
				stopped = otherHost(c, stopped)
			}
			targets := []*cluster.Host{stopped}
			c.SubmitUntilAccepted(targets, "long", cluster.KindBilled, 6*time.Second)
			c.WaitUntil("the job runs", func() bool { return c.Started("long") })
			var requests conc.WaitGroup
			for i := range 6 {
				requests.Go(func() {
					kind := []string{cluster.KindLookup, cluster.KindBilledLookup}[i%2]
					// The run time stays below the 1 s progress timeout of these kinds.
					o := c.Call(targets, fmt.Sprintf("open-%d", i), kind, 900*time.Millisecond, 0)
					if !o.Answered {
						t.Errorf("call in progress during the stop failed: %v", o.Err)
					}
				})
			}
			requests.Go(func() {
				status, body, err := c.WaitRequest(stopped, "long")
				if err != nil || status != 200 {
					t.Errorf("wait in progress during the stop: status %d, error %v, body %s", status, err, body)
				}
			})
			c.WaitUntil("the calls run", func() bool { return c.Started("open-0") && c.Started("open-5") })
			stopped.Stop()
			requests.Wait()
			c.ClearFaultsAndCheck()
		})
	}
}

// otherHost returns a host other than h.
func otherHost(c *cluster.Cluster, h *cluster.Host) *cluster.Host {
	for _, o := range c.Hosts {
		if o != h {
			return o
		}
	}
	return nil
}
