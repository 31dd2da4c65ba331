package core

import (
	"testing"
	"time"
)

// TestHeadroomFollowsUrgentStarts guards against borrowed work that fills the data
// centre completely, so that urgent work of another team has to wait for a task to
// end.
func TestHeadroomFollowsUrgentStarts(t *testing.T) {
	total := Resources{Slots: 1000}
	cases := []struct {
		name    string
		urgency Urgency
		used    int64
		rate    float64
		idle    time.Duration
		want    int64
	}{
		{"two seconds of urgent starts are kept free", Urgent, 0, 3, 0, 6},
		{"at most two percent of the capacity is kept free", Urgent, 0, 300, 0, 20},
		{"nothing is kept free for work that may wait", Normal, 0, 3, 0, 0},
		{"nothing is kept free for a team beyond its quota", Urgent, 100, 3, 0, 0},
		{"nothing is kept free when no urgent work has started lately", Urgent, 0, 3, time.Minute, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := New(Config{Host: "h", DataCentre: "d"})
			r.now, r.owner.role = Time(time.Hour), roleOwner
			kind := Kind{Name: "k", Urgency: c.urgency, GangSize: 1, Request: Resources{Slots: 1}}
			r.docs.apply(DocumentVersion{Revision: 1, Document: Document{
				Team: "t", Weight: 1, Quota: Resources{Slots: 100}, Kinds: []Kind{kind},
			}})
			r.fleet.total = total
			j := r.newJob(JobSpec{ID: "j", Team: "t", Kind: "k"}, &kind)
			k := r.queues.queueFor(j)
			k.startRate = rateMeter{rate: c.rate, updatedAt: r.now.Add(-c.idle)}
			r.fleet.adjustTeamUsage(j.team, Resources{Slots: c.used}, 1)
			r.tickHeadroom()
			if got := r.fleet.headroom.Slots; got != c.want {
				t.Errorf("%d slots are kept free, want %d", got, c.want)
			}
			r.fleet.assigned = total.Sub(Resources{Slots: c.want})
			if r.fleet.leavesHeadroom(Resources{Slots: 1}) {
				t.Error("borrowed work may take the headroom")
			}
		})
	}
}
