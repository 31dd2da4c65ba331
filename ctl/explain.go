package ctl

import (
	"fmt"
	"strconv"
	"strings"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// Explain prints why a job is waiting, or where and why it was placed.
func Explain(id core.JobID, asJSON bool) Step {
	return showView(getRequest(jobPath(id, wire.SegmentExplain), nil), asJSON, explanationText)
}

func explanationText(e *wire.Explanation) string {
	var b strings.Builder
	if e.Status != nil {
		r := newJobReport(false)
		r.addStatus(e.Status, ExitOK)
		b.WriteString(table(r.rows...))
		b.WriteString(tasksTable(e.Status.Tasks))
	}
	if e.Position > 0 {
		fmt.Fprintf(&b, "\nPosition in queue: %d\n", e.Position)
	}
	if len(e.Reasons) > 0 {
		b.WriteString("\nReasons:\n")
		for _, reason := range e.Reasons {
			b.WriteString("  " + reason + "\n")
		}
	}
	if len(e.Rejected) > 0 {
		rows := [][]string{{"FILTER", "WORKERS_REJECTED"}}
		for _, f := range e.Rejected {
			rows = append(rows, []string{f.Filter, strconv.Itoa(f.Workers)})
		}
		b.WriteString("\n" + table(rows...))
	}
	if len(e.Steps) > 0 {
		rows := [][]string{{"TIME", "WORKER", "STEP"}}
		for _, s := range e.Steps {
			rows = append(rows, []string{formatTime(s.AtUnixMS), orDash(string(s.Worker)), s.Text})
		}
		b.WriteString("\n" + table(rows...))
	}
	return b.String()
}

func tasksTable(tasks []wire.TaskStatus) string {
	if len(tasks) == 0 {
		return ""
	}
	rows := [][]string{{"TASK", "ATTEMPT", "STATE", "WORKER", "THROTTLED"}}
	for _, t := range tasks {
		rows = append(rows, []string{strconv.Itoa(t.Index), strconv.Itoa(t.Attempt), t.State,
			orDash(string(t.Worker)), strconv.FormatBool(t.Throttled)})
	}
	return "\n" + table(rows...)
}
