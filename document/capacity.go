package document

import (
	"cmp"
	"fmt"
	"slices"

	"banyanrun.example/banyanrun/core"
)

// cell is what the workers of one data centre have. A gang, a quota and a task
// are each held by one cell.
type cell struct {
	name    core.DataCentre
	workers []core.Resources
	total   core.Resources
}

// cellsOf groups the workers that are not leaving by data centre, in name order.
func cellsOf(fleet []core.ListedWorker) []cell {
	var cells []cell
	for _, w := range fleet {
		if w.Leaving {
			continue
		}
		i := slices.IndexFunc(cells, func(c cell) bool { return c.name == w.DataCentre })
		if i < 0 {
			i = len(cells)
			cells = append(cells, cell{name: w.DataCentre})
		}
		cells[i].workers = append(cells[i].workers, w.Capacity)
		cells[i].total = cells[i].total.Add(w.Capacity)
	}
	slices.SortFunc(cells, func(a, b cell) int { return cmp.Compare(a.name, b.name) })
	return cells
}

// room returns how many tasks of size r the empty cell holds, at most limit.
func (c *cell) room(r core.Resources, limit int64) int64 {
	room := int64(0)
	for _, w := range c.workers {
		room += r.Copies(w, limit-room)
	}
	return room
}

// fleet compares the document with the workers of each data centre.
func (c *checker) fleet(cells []cell) {
	for _, cl := range cells {
		if !c.doc.Quota.Fits(cl.total) {
			c.warn("quota", "quota (%v) is beyond data centre %s (%v)", c.doc.Quota, cl.name, cl.total)
		}
	}
	for i := range c.doc.Kinds {
		c.kindRoom(fmt.Sprintf("kinds[%d]", i), &c.doc.Kinds[i], cells)
	}
	for i, s := range c.doc.Services {
		for j, dc := range s.DataCentres {
			if !slices.ContainsFunc(cells, func(cl cell) bool { return cl.name == dc }) {
				c.warn(fmt.Sprintf("services[%d].data_centres[%d]", i, j), "data centre %q has no workers", dc)
			}
		}
	}
}

// kindRoom warns if no data centre can hold one job of a kind.
func (c *checker) kindRoom(path string, k *core.Kind, cells []cell) {
	if k.Request.Negative() || k.Request.IsZero() {
		return // already refused
	}
	most := int64(0)
	for _, cl := range cells {
		most = max(most, cl.room(k.Request, int64(k.GangSize)))
	}
	switch {
	case most == 0:
		c.warn(path+".request", "no worker can hold a task of kind %q (%v); its jobs can never run",
			k.Name, k.Request)
	case most < int64(k.GangSize):
		c.warn(path+".gang_size", "no data centre can hold %d tasks of kind %q at once; the largest holds %d",
			k.GangSize, k.Name, most)
	}
}
