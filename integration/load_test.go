package integration

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"banyanrun.example/banyanrun/integration/cluster"
)

// callers is the number of callers that call at a time.
const callers = 4

// callNumber makes the ids of calls unique.
var callNumber atomic.Int64

// together runs f for 0 to n-1 at once and waits.
func together(n int, f func(int)) {
	var all conc.WaitGroup
	for i := range n {
		all.Go(func() { f(i) })
	}
	all.Wait()
}

// serveFor makes calls of both interactive kinds for a time at all hosts.
func serveFor(c *cluster.Cluster, d time.Duration) []cluster.CallOutcome {
	return serveAt(c, c.Hosts, d)
}

// serveAt makes calls at some hosts for a time and returns their outcomes. The
// time decides how many calls are made, not whether they pass.
func serveAt(c *cluster.Cluster, hosts []*cluster.Host, d time.Duration) []cluster.CallOutcome {
	end := time.Now().Add(d)
	return serveWhile(c, func() []*cluster.Host { return hosts }, func() bool { return time.Now().Before(end) })
}

// serveWhile makes calls as long as more says so. Each caller begins with
// another host of the list.
func serveWhile(c *cluster.Cluster, hosts func() []*cluster.Host, more func() bool) []cluster.CallOutcome {
	outcomes := make([][]cluster.CallOutcome, callers)
	kinds := []string{cluster.KindLookup, cluster.KindBilledLookup}
	together(callers, func(i int) {
		for n := i; more(); n++ {
			list := hosts()
			k := n % len(list)
			order := append(append([]*cluster.Host{}, list[k:]...), list[:k]...)
			id := fmt.Sprintf("call-%d", callNumber.Add(1))
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
