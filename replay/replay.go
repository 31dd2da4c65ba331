// Package replay feeds the events of a recording to a new reducer and compares
// the resulting effects with the recorded ones, byte for byte.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// Options limit a replay.
type Options struct {
	// Until is the number of steps to replay, or zero for all.
	Until int
	// Job, if set, is the only job whose outcome is reported.
	Job core.JobID
}

// Result is the result of a replay.
type Result struct {
	Steps       int
	Difference  *Difference
	Outcomes    []Outcome
	HostID      core.HostID
	Incarnation uint64
	// Torn is set if the last line of the recording is incomplete, as after a
	// kill of the recording process.
	Torn bool
}

// Difference is the first step whose effects differ from the recorded ones.
type Difference struct {
	// Step counts from 1.
	Step  int
	At    core.Time
	Event string
	// Recorded and Replayed are the encoded effects.
	Recorded, Replayed []byte
}

// Outcome is the last state of a job that was reported to a caller.
type Outcome struct {
	Job   core.JobID
	State string
	// Step is the step that sent the report.
	Step int
	// Reason is the reason of a refusal, or empty.
	Reason core.Reason
}

// maxLineBytes bounds one step of a recording. The largest step is a journal
// load of 64 groups of 256 KB.
const maxLineBytes = 64 << 20

// Run replays a recording and stops at the first difference.
func Run(in io.Reader, o Options) (*Result, error) {
	lines := bufio.NewReader(in)
	first, _, err := readLine(lines)
	if err != nil {
		return nil, fmt.Errorf("read header: %w", err)
	}
	var header wire.RecordingHeader
	if err := json.Unmarshal(first, &header); err != nil {
		return nil, fmt.Errorf("decode header: %w", err)
	}
	if header.Version != wire.RecordingVersion {
		return nil, fmt.Errorf("recording has version %d; this program reads %d", header.Version, wire.RecordingVersion)
	}
	p := player{
		reducer: core.New(header.Config), requestJobs: map[core.RequestID]core.JobID{},
		outcomes: map[core.JobID]Outcome{}, jobFilter: o.Job,
		result: &Result{HostID: header.Config.Host, Incarnation: header.Config.Incarnation},
	}
	err = p.play(lines, o.Until)
	p.result.Outcomes = slices.SortedFunc(maps.Values(p.outcomes), func(a, b Outcome) int { return a.Step - b.Step })
	return p.result, err
}

// readLine reads one line. terminated is false for a last line without a
// newline.
func readLine(in *bufio.Reader) (data []byte, terminated bool, err error) {
	for {
		part, err := in.ReadSlice('\n')
		data = append(data, part...)
		switch {
		case err == nil:
			return data, true, nil
		case errors.Is(err, io.EOF) && len(data) > 0:
			return data, false, nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return data, false, err
		case len(data) > maxLineBytes:
			return data, false, fmt.Errorf("line exceeds %d bytes", maxLineBytes)
		}
	}
}

// player holds the state of a replay.
type player struct {
	reducer     *core.Reducer
	requestJobs map[core.RequestID]core.JobID
	outcomes    map[core.JobID]Outcome
	jobFilter   core.JobID
	result      *Result
}

// play replays steps until the end of the recording, the limit or the first
// difference.
func (p *player) play(in *bufio.Reader, until int) error {
	for until == 0 || p.result.Steps < until {
		data, terminated, err := readLine(in)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read step %d: %w", p.result.Steps+1, err)
		}
		if !terminated && !json.Valid(data) {
			p.result.Torn = true
			return nil
		}
		if err := p.step(data); err != nil {
			return fmt.Errorf("step %d: %w", p.result.Steps+1, err)
		}
		if p.result.Difference != nil {
			return nil
		}
	}
	return nil
}

// step replays one step and compares its effects.
func (p *player) step(data []byte) error {
	var step wire.RecordedStep
	if err := json.Unmarshal(data, &step); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	event, err := step.DecodeEvent()
	if err != nil {
		return err
	}
	effects := p.reducer.Step(event)
	encoded, err := wire.EncodeEffects(effects)
	if err != nil {
		return fmt.Errorf("encode effects: %w", err)
	}
	p.result.Steps++
	if !bytes.Equal(encoded, step.Effects) {
		p.result.Difference = &Difference{
			Step: p.result.Steps, At: step.At, Event: step.Event.Type,
			Recorded: step.Effects, Replayed: encoded,
		}
		return nil
	}
	p.recordOutcomes(event.Body, effects)
	return nil
}

// recordOutcomes records the job states that the effects report to callers.
func (p *player) recordOutcomes(body core.EventBody, effects []core.Effect) {
	switch b := body.(type) {
	case core.Submitted:
		p.requestJobs[b.Request] = b.Spec.ID
	case core.CancelRequested:
		p.requestJobs[b.Request] = b.Job
	case core.StatusRequested:
		p.requestJobs[b.Request] = b.Job
	}
	for _, f := range effects {
		reply, ok := f.(core.Reply)
		if !ok {
			continue
		}
		id, known := p.requestJobs[reply.Request]
		delete(p.requestJobs, reply.Request)
		if !known || p.jobFilter != "" && id != p.jobFilter {
			continue
		}
		o := Outcome{Job: id, Step: p.result.Steps}
		switch {
		case reply.Status != nil:
			o.State = reply.Status.State.String()
			if reply.Status.Refusal != nil {
				o.Reason = reply.Status.Refusal.Reason
			}
		case reply.Refusal != nil:
			o.State, o.Reason = core.JobRefused.String(), reply.Refusal.Reason
		default:
			continue
		}
		p.outcomes[id] = o
	}
}
