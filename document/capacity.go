package document

import (
	"cmp"
	"fmt"
	"slices"

	"banyanrun.example/banyanrun/core"
)

// dataCentreCapacity is the capacity of the workers in one data centre. Gangs
// and quotas never span data centres.
type dataCentreCapacity struct {
	name    core.DataCentre
	workers []core.Resources
	total   core.Resources
}

// groupByDataCentre groups the workers that are not leaving by data centre,
// ordered by name.
func groupByDataCentre(fleet []core.ListedWorker) []dataCentreCapacity {
	var capacities []dataCentreCapacity
	for _, w := range fleet {
		if w.Leaving {
			continue
		}
		i := slices.IndexFunc(capacities, func(c dataCentreCapacity) bool { return c.name == w.DataCentre })
		if i < 0 {
			i = len(capacities)
			capacities = append(capacities, dataCentreCapacity{name: w.DataCentre})
		}
		capacities[i].workers = append(capacities[i].workers, w.Capacity)
		capacities[i].total = capacities[i].total.Add(w.Capacity)
	}
	slices.SortFunc(capacities, func(a, b dataCentreCapacity) int { return cmp.Compare(a.name, b.name) })
	return capacities
}

// taskCapacity returns how many tasks with the given request fit if all workers
// are empty, up to limit.
func (c *dataCentreCapacity) taskCapacity(request core.Resources, limit int64) int64 {
	count := int64(0)
	for _, w := range c.workers {
		count += request.Copies(w, limit-count)
	}
	return count
}

// checkFleet compares the document with the capacity of each data centre.
func (c *checker) checkFleet(capacities []dataCentreCapacity) {
	for _, dc := range capacities {
		if !c.doc.Quota.Fits(dc.total) {
			c.addWarning("quota", "quota (%v) is beyond data centre %s (%v)", c.doc.Quota, dc.name, dc.total)
		}
	}
	for i := range c.doc.Kinds {
		c.checkKindFits(fmt.Sprintf("kinds[%d]", i), &c.doc.Kinds[i], capacities)
	}
	for i, s := range c.doc.Services {
		for j, dc := range s.DataCentres {
			if !slices.ContainsFunc(capacities, func(capacity dataCentreCapacity) bool { return capacity.name == dc }) {
				c.addWarning(fmt.Sprintf("services[%d].data_centres[%d]", i, j), "data centre %q has no workers", dc)
			}
		}
	}
}

// checkKindFits warns if no data centre has the capacity for one job of a kind.
func (c *checker) checkKindFits(path string, k *core.Kind, capacities []dataCentreCapacity) {
	if k.Request.Negative() || k.Request.IsZero() {
		return // checkKind has already reported it
	}
	maxTasks := int64(0)
	for _, dc := range capacities {
		maxTasks = max(maxTasks, dc.taskCapacity(k.Request, int64(k.GangSize)))
	}
	switch {
	case maxTasks == 0:
		c.addWarning(path+".request", "no worker can hold a task of kind %q (%v); its jobs can never run",
			k.Name, k.Request)
	case maxTasks < int64(k.GangSize):
		c.addWarning(path+".gang_size", "no data centre can hold %d tasks of kind %q at once; the largest holds %d",
			k.GangSize, k.Name, maxTasks)
	}
}
