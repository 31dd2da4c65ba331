package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// traceContext is the time before the first and after the last line of a job
// for which events of the cell are shown too.
const traceContext = 3 * time.Second

// logLine is one line of a host's log.
type logLine struct {
	Time        time.Time `json:"time"`
	Host        string    `json:"host"`
	Event       string    `json:"event"`
	Outcome     string    `json:"outcome"`
	Job         string    `json:"job"`
	Task        string    `json:"task"`
	Worker      string    `json:"worker"`
	Reason      string    `json:"reason"`
	Run         int64     `json:"run"`
	otherFields string
}

// contextEvents are the events of the cell that explain what happens to its
// jobs.
var contextEvents = map[string]bool{
	"owner": true, "recovery": true, "dependency": true, "process": true, "store": true, "log": true,
}

// isAbout reports whether the line is about the job.
func (l *logLine) isAbout(job string) bool {
	return l.Job == job || strings.HasPrefix(l.Task, job+".")
}

// Trace prints the log lines about a job from all hosts in order of time, and
// lists the steps that are missing.
func Trace(job string, logs []byte) Result {
	lines, unreadable := parseLog(logs)
	var jobLines []logLine
	for _, l := range lines {
		if l.isAbout(job) {
			jobLines = append(jobLines, l)
		}
	}
	if len(jobLines) == 0 {
		return Result{Stderr: fmt.Sprintf("no line about job %q in %d lines (%d unreadable)\n", job, len(lines), unreadable), Exit: ExitUnfinished}
	}
	first, last := jobLines[0].Time, jobLines[0].Time
	for _, l := range jobLines {
		if l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	from, to := first.Add(-traceContext), last.Add(traceContext)
	shown := slices.DeleteFunc(lines, func(l logLine) bool {
		return !l.isAbout(job) && (!contextEvents[l.Event] || l.Time.Before(from) || l.Time.After(to))
	})
	slices.SortStableFunc(shown, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	rows := [][]string{{"TIME", "HOST", "EVENT", "OUTCOME", "TASK", "RUN", "WORKER", "DETAILS"}}
	for _, l := range shown {
		run := ""
		if l.Run != 0 {
			run = fmt.Sprint(l.Run)
		}
		rows = append(rows, []string{l.Time.Format("15:04:05.000"), l.Host, l.Event, l.Outcome, strings.TrimPrefix(l.Task, job), run, l.Worker, l.details()})
	}
	return Result{Stdout: table(rows...) + missingSteps(jobLines)}
}

// details returns the reason and the other fields of a line.
func (l *logLine) details() string {
	if l.Reason == "" {
		return l.otherFields
	}
	return strings.TrimSpace("reason=" + l.Reason + " " + l.otherFields)
}

// parseLog decodes the lines that contain a JSON object. Text before the
// object, such as the prefix of a log collector, is ignored.
func parseLog(logs []byte) (lines []logLine, unreadable int) {
	shownFields := map[string]bool{"time": true, "host": true, "event": true, "outcome": true, "job": true, "task": true,
		"worker": true, "reason": true, "run": true, "level": true}
	for raw := range bytes.Lines(logs) {
		start := bytes.IndexByte(raw, '{')
		if start < 0 {
			continue
		}
		var l logLine
		var all map[string]any
		if json.Unmarshal(raw[start:], &l) != nil || json.Unmarshal(raw[start:], &all) != nil {
			unreadable++
			continue
		}
		var rest []string
		for name, value := range all {
			if !shownFields[name] {
				rest = append(rest, fmt.Sprintf("%s=%v", name, value))
			}
		}
		slices.Sort(rest)
		l.otherFields = strings.Join(rest, " ")
		lines = append(lines, l)
	}
	return lines, unreadable
}

// missingSteps lists the steps of a complete job that the lines do not contain.
func missingSteps(jobLines []logLine) string {
	has := func(event, outcome string) bool {
		return slices.ContainsFunc(jobLines, func(l logLine) bool { return l.Event == event && (outcome == "" || l.Outcome == outcome) })
	}
	var missing []string
	if !has("submit", "accepted") {
		missing = append(missing, "no host accepted the job: see the reasons of the refusals")
	}
	type runKey struct {
		task string
		run  int64
	}
	openRuns := map[runKey]string{}
	for _, l := range jobLines {
		switch {
		case l.Event == "start" && l.Outcome == "ordered":
			openRuns[runKey{l.Task, l.Run}] = l.Worker
		case l.Event == "end", l.Event == "start":
			delete(openRuns, runKey{l.Task, l.Run})
		}
	}
	var runs []string
	for k, w := range openRuns {
		runs = append(runs, fmt.Sprintf("run %d of %s on %s has no end", k.run, k.task, w))
	}
	slices.Sort(runs)
	missing = append(missing, runs...)
	if has("submit", "accepted") && !has("start", "") {
		missing = append(missing, "no task was started: check advice, capacity and the owner's lease")
	}
	if has("submit", "accepted") && !has("job", "") {
		missing = append(missing, "the job has no final state")
	}
	if len(missing) == 0 {
		return ""
	}
	return "missing:\n  " + strings.Join(missing, "\n  ") + "\n"
}

// traceCommand prints the log lines about a job.
type traceCommand struct {
	Args struct {
		Job   string   `positional-arg-name:"ID" required:"yes"`
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

func (c *traceCommand) plan(env *environment) Step {
	files := c.Args.Files
	if len(files) == 0 {
		files = []string{"-"}
	}
	var logs []byte
	for _, name := range files {
		text, err := env.readFile(name)
		if err != nil {
			return usageStep(err)
		}
		logs = append(logs, text...)
		logs = append(logs, '\n')
	}
	return finalStep(Trace(strings.ToLower(c.Args.Job), logs))
}
