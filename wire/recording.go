package wire

import (
	"encoding/json"
	"fmt"
	"reflect"

	"banyanrun.example/banyanrun/core"
)

// A recording is a JSON Lines file: a RecordingHeader, followed by one
// RecordedStep for each step of the reducer.
//
// A recording holds the texts of log lines, refusals and explanations, and replay
// compares them, so changing such a text in package core makes older recordings
// differ.

// RecordingHeader is the first line of a recording.
type RecordingHeader struct {
	Version int         `json:"version"`
	Config  core.Config `json:"config"`
}

// RecordingVersion is the version of the recording format.
const RecordingVersion = 1

// RecordedStep is one step of the reducer: its event and the effects it returned.
type RecordedStep struct {
	At      core.Time       `json:"at"`
	Event   RecordedBody    `json:"event"`
	Effects json.RawMessage `json:"effects"`
}

// RecordedBody is an event body tagged with its Go type name.
type RecordedBody struct {
	Type string          `json:"type"`
	Body json.RawMessage `json:"body"`
}

// recordedItem is the JSON form of core.StoreItem. Value is encoded by
// EncodeValue, because its type is an interface.
type recordedItem struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value,omitempty"`
	Revision int64           `json:"revision"`
}

// recordedStoreAnswer is the JSON form of core.StoreAnswered.
type recordedStoreAnswer struct {
	Op       core.StoreOp      `json:"op"`
	Outcome  core.StoreOutcome `json:"outcome"`
	Items    []recordedItem    `json:"items,omitempty"`
	Revision int64             `json:"revision"`
	Lease    core.LeaseID      `json:"lease"`
}

// eventTypes maps type names to the types of event bodies. StoreAnswered is
// decoded separately, because its items hold interface values.
var eventTypes = func() map[string]reflect.Type {
	types := map[string]reflect.Type{}
	for _, body := range []core.EventBody{
		core.Tick{}, core.Continue{}, core.Submitted{}, core.CancelRequested{},
		core.StatusRequested{}, core.ForwardFailed{}, core.RequestAbandoned{},
		core.ViewRequested{}, core.DrainRequested{}, core.DocumentProposed{},
		core.DocumentsRead{}, core.HistoryRequested{}, core.HostsListed{},
		core.WorkerSynced{}, core.WorkerFailed{}, core.StartAnswered{}, core.SignalFailed{},
		core.CallsReported{}, core.PeerHeard{}, core.SummaryHeard{},
	} {
		t := reflect.TypeOf(body)
		types[t.Name()] = t
	}
	return types
}()

// EncodeStep encodes one step of a recording.
func EncodeStep(e core.Event, effects []core.Effect) ([]byte, error) {
	body, err := encodeBody(e.Body)
	if err != nil {
		return nil, err
	}
	out, err := EncodeEffects(effects)
	if err != nil {
		return nil, err
	}
	return json.Marshal(RecordedStep{At: e.At, Event: body, Effects: out})
}

// encodeBody encodes an event body together with its type name.
func encodeBody(body core.EventBody) (RecordedBody, error) {
	name := reflect.TypeOf(body).Name()
	var value any = body
	if a, ok := body.(core.StoreAnswered); ok {
		converted, err := encodeStoreAnswer(a)
		if err != nil {
			return RecordedBody{}, err
		}
		value = converted
	}
	data, err := json.Marshal(value)
	return RecordedBody{Type: name, Body: data}, err
}

// encodeStoreAnswer converts a store answer to its JSON form.
func encodeStoreAnswer(a core.StoreAnswered) (recordedStoreAnswer, error) {
	out := recordedStoreAnswer{Op: a.Op, Outcome: a.Outcome, Revision: a.Revision, Lease: a.Lease}
	for _, item := range a.Items {
		value, err := EncodeValue(item.Value)
		if err != nil {
			return out, err
		}
		out.Items = append(out.Items, recordedItem{Key: item.Key, Value: value, Revision: item.Revision})
	}
	return out, nil
}

// DecodeEvent decodes the event of a recorded step.
func (s *RecordedStep) DecodeEvent() (core.Event, error) {
	e := core.Event{At: s.At}
	if s.Event.Type == "StoreAnswered" {
		body, err := decodeStoreAnswer(s.Event.Body)
		e.Body = body
		return e, err
	}
	t, ok := eventTypes[s.Event.Type]
	if !ok {
		return e, fmt.Errorf("unknown event type %q", s.Event.Type)
	}
	v := reflect.New(t)
	if err := json.Unmarshal(s.Event.Body, v.Interface()); err != nil {
		return e, fmt.Errorf("decode event %s: %w", s.Event.Type, err)
	}
	e.Body = v.Elem().Interface().(core.EventBody)
	return e, nil
}

// decodeStoreAnswer decodes a store answer and the values of its items.
func decodeStoreAnswer(data []byte) (core.StoreAnswered, error) {
	var answer recordedStoreAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return core.StoreAnswered{}, fmt.Errorf("decode event StoreAnswered: %w", err)
	}
	out := core.StoreAnswered{
		Op: answer.Op, Outcome: answer.Outcome, Revision: answer.Revision, Lease: answer.Lease,
	}
	for _, item := range answer.Items {
		value, err := DecodeValue(item.Value)
		if err != nil {
			return out, err
		}
		out.Items = append(out.Items, core.StoreItem{Key: item.Key, Value: value, Revision: item.Revision})
	}
	return out, nil
}

// EncodeEffects encodes effects together with their type names. Equal effects
// produce equal bytes.
func EncodeEffects(effects []core.Effect) ([]byte, error) {
	type named struct {
		Type   string      `json:"type"`
		Effect core.Effect `json:"effect"`
	}
	list := make([]named, len(effects))
	for i, f := range effects {
		list[i] = named{Type: reflect.TypeOf(f).Name(), Effect: f}
	}
	return json.Marshal(list)
}
