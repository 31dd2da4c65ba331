package scheduler

// advise answers a call for advice.
func (sim *simulation) advise(f AskAdvice) AdviceAnswered {
	e := AdviceAnswered{Valid: 1500 * msec}
	for _, id := range f.Workers {
		if sim.adviceAllows(f.Step, id) {
			e.Good = append(e.Good, Ticket{id, f.Step + string(id)})
		}
	}
	return e
}

// adviceAllows reports whether the advice service allows a worker to run a step.
func (sim *simulation) adviceAllows(step string, id WorkerID) bool {
	if sim.faults.adviceAllows != nil {
		return sim.faults.adviceAllows(step, id)
	}
	return adviceGood(step, id)
}

// adviceGood decides by a hash whether a worker may run a step.
func adviceGood(step string, id WorkerID) bool {
	sum := 0
	for _, b := range []byte(step + string(id)) {
		sum = sum*31 + int(b)
	}
	return sum%3 != 0
}
