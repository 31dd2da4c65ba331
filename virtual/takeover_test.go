package virtual

import (
	"testing"
	"time"

	"banyanrun.example/banyanrun/core"
)

// Guards against followers that continue to poll slowly, as they do while they
// hear the owner, after the owner has died. With real processes, takeovers then
// took up to 19 s. The design page limits them to the lease + 5 s, here in
// virtual time.
func TestTakeoverWithinBound(t *testing.T) {
	const bound = core.DefaultOwnerLease + 5*time.Second
	for seed := range uint64(8) {
		c := testCluster(seed)
		owner := waitForOwner(t, c)
		c.RunFor(40*time.Second + time.Duration(seed)*time.Second)
		c.KillHost(owner)
		killed := c.Now()
		c.RunWhile(time.Minute, func() bool { o := c.Owner("a"); return o == "" || o == owner })
		if took := c.Now().Sub(killed); took > bound {
			t.Errorf("seed %d: takeover took %s; want at most %s", seed, took, bound)
		}
	}
}
