package integration

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"banyanrun.example/banyanrun/integration/cluster"
)

// callers is the number of callers that call at a time.
const callerCount = 4

// callNumber makes the ids of calls unique.
var lastCallID atomic.Int64

// together runs f for 0 to n-1 at once and waits.
func runParallel(n int, f func(int)) {
	var goroutines conc.WaitGroup
	for i := range n {
		goroutines.Go(func() { f(i) })
	}
	goroutines.Wait()
}

// serveFor makes calls of both interactive kinds for a time at all hosts.
func callFor(c *cluster.Cluster, d time.Duration) []cluster.CallOutcome {
	return callHostsFor(c, c.Hosts, d)
}

// serveAt makes calls at some hosts for a time and returns their outcomes. The
// time decides how many calls are made, not whether they pass.
func callHostsFor(c *cluster.Cluster, hosts []*cluster.Host, d time.Duration) []cluster.CallOutcome {
	end := time.Now().Add(d)
	return callWhile(c, func() []*cluster.Host { return hosts }, func() bool { return time.Now().Before(end) })
}

// serveWhile makes calls as long as more says so. Each caller begins with
// another host of the list.
func callWhile(c *cluster.Cluster, hosts func() []*cluster.Host, more func() bool) []cluster.CallOutcome {
	outcomes := make([][]cluster.CallOutcome, callerCount)
	kinds := []string{cluster.KindLookup, cluster.KindBilledLookup}
	runParallel(callerCount, func(i int) {
		for n := i; more(); n++ {
			available := hosts()
			k := n % len(available)
			order := append(append([]*cluster.Host{}, available[k:]...), available[:k]...)
			id := fmt.Sprintf("call-%d", lastCallID.Add(1))
			outcomes[i] = append(outcomes[i], c.Call(order, id, kinds[n%len(kinds)], 20*time.Millisecond, 0))
			time.Sleep(20 * time.Millisecond)
		}
	})
	var all []cluster.CallOutcome
	for _, list := range outcomes {
		all = append(all, list...)
	}
	return all
}
