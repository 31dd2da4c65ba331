package integration

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"banyanrun.example/banyanrun/integration/cluster"
)

// callerCount is the number of concurrent callers.
const callerCount = 4

// lastCallID makes the ids of calls unique.
var lastCallID atomic.Int64

// runParallel calls f concurrently for 0 to n-1 and waits until all have returned.
func runParallel(n int, f func(int)) {
	var goroutines conc.WaitGroup
	for i := range n {
		goroutines.Go(func() { f(i) })
	}
	goroutines.Wait()
}

// callFor makes calls of both interactive kinds at all hosts for a time.
func callFor(c *cluster.Cluster, d time.Duration) []cluster.CallOutcome {
	return callHostsFor(c, c.Hosts, d)
}

// callHostsFor makes calls at the given hosts for a time and returns their
// outcomes. The time affects only the number of calls, not whether they succeed.
func callHostsFor(c *cluster.Cluster, hosts []*cluster.Host, d time.Duration) []cluster.CallOutcome {
	end := time.Now().Add(d)
	return callWhile(c, func() []*cluster.Host { return hosts }, func() bool { return time.Now().Before(end) })
}

// callWhile makes calls while more returns true, and returns their outcomes. Each
// caller starts with a different host of the list.
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
