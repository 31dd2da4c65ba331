package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"reflect"
	"testing"

	"banyanrun.example/banyanrun/core"
)

// storedValues lists a zero value of each type that the store holds.
var storedValues = []core.Value{core.OwnerRecord{}, core.LeaseRecord{}, core.JournalGroup{}, core.DocumentRecord{}}

// fillNonZero returns a value of type t in which no field is zero.
func fillNonZero(t reflect.Type) reflect.Value {
	v := reflect.New(t).Elem()
	switch t.Kind() {
	case reflect.Struct:
		for i := range t.NumField() {
			v.Field(i).Set(fillNonZero(t.Field(i).Type))
		}
	case reflect.Array:
		for i := range t.Len() {
			v.Index(i).Set(fillNonZero(t.Elem()))
		}
	case reflect.Pointer:
		v.Set(reflect.New(t.Elem()))
		v.Elem().Set(fillNonZero(t.Elem()))
	case reflect.Slice:
		v.Set(reflect.MakeSlice(t, 2, 2))
		for i := range 2 {
			v.Index(i).Set(fillNonZero(t.Elem()))
		}
	case reflect.Interface:
		// core.Value is the only interface type among the fields of events.
		v.Set(fillNonZero(reflect.TypeFor[core.JournalGroup]()))
	case reflect.String:
		v.SetString("näme")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(1.5)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(1)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(1)
	default:
		panic(fmt.Sprintf("type %s has an unsupported kind", t))
	}
	return v
}

// encodeEnvelope wraps data in an envelope with a valid checksum.
func encodeEnvelope(version int, kind, data string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"type":%q,"crc32c":%d,"data":%s}`,
		version, kind, crc32.Checksum([]byte(data), castagnoliTable), data)
}

// Guards against a field of a stored value that encoding and decoding lose or
// change.
func TestStoredValueRoundTrip(t *testing.T) {
	for _, zero := range storedValues {
		want := fillNonZero(reflect.TypeOf(zero)).Interface().(core.Value)
		t.Run(fmt.Sprintf("%T", want), func(t *testing.T) {
			raw, err := EncodeValue(want)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := DecodeValue(raw); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, %v; want %+v", got, err, want)
			}
		})
	}
}

// Guards against accepting a stored value that is corrupt or was written by a
// later version.
func TestDecodeRejectsUnreadableValues(t *testing.T) {
	for _, c := range []struct {
		name string
		raw  []byte
	}{
		{"a later version", encodeEnvelope(valueVersion+1, "lease", `{}`)},
		{"no version", []byte(`{"type":"lease","crc32c":0,"data":{}}`)},
		{"a wrong checksum", []byte(`{"version":1,"type":"lease","crc32c":1,"data":{}}`)},
		{"an unknown type", encodeEnvelope(valueVersion, "leases", `{}`)},
		{"content of another type", encodeEnvelope(valueVersion, "lease", `[]`)},
		{"a field of another type", encodeEnvelope(valueVersion, "owner", `{"Epoch":-1}`)},
		{"null data", encodeEnvelope(valueVersion, "owner", `null`)},
		{"a truncated value", []byte(`{"version":1,"type":"le`)},
		{"nothing", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			if v, err := DecodeValue(c.raw); !errors.Is(err, ErrUnreadable) {
				t.Errorf("got %+v, %v; want ErrUnreadable", v, err)
			}
		})
	}
}

// checkRoundTrip fails the test unless raw is either rejected with ErrUnreadable
// or decodes to a value that encodes and decodes without a change.
func checkRoundTrip(t *testing.T, raw []byte) {
	v, err := DecodeValue(raw)
	if err != nil {
		if !errors.Is(err, ErrUnreadable) {
			t.Fatalf("error %v does not wrap ErrUnreadable", err)
		}
		return
	}
	first, err := EncodeValue(v)
	if err != nil {
		t.Fatalf("encode %+v: %v", v, err)
	}
	again, err := DecodeValue(first)
	if err != nil {
		t.Fatalf("decode %s: %v", first, err)
	}
	if second, err := EncodeValue(again); err != nil || !bytes.Equal(first, second) {
		t.Fatalf("second round trip gave %s, %v; want %s", second, err, first)
	}
}

// Guards against stored bytes that crash the host that reads them.
func FuzzDecodeValue(f *testing.F) {
	for _, zero := range storedValues {
		raw, err := EncodeValue(fillNonZero(reflect.TypeOf(zero)).Interface().(core.Value))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
		f.Add(bytes.Replace(raw, []byte(`"version":1`), []byte(`"version":2`), 1))
	}
	f.Fuzz(checkRoundTrip)
}

// Guards against stored data with a valid checksum that crashes the host that
// reads it. The fuzzer cannot find a valid checksum by itself.
func FuzzDecodeValueContent(f *testing.F) {
	for _, zero := range storedValues {
		name, err := valueTypeName(zero)
		if err != nil {
			f.Fatal(err)
		}
		data, err := json.Marshal(fillNonZero(reflect.TypeOf(zero)).Interface())
		if err != nil {
			f.Fatal(err)
		}
		f.Add(name, string(data))
	}
	f.Fuzz(func(t *testing.T, kind, data string) { checkRoundTrip(t, encodeEnvelope(valueVersion, kind, data)) })
}

// recordedEventTypes lists every event type that a recording may hold.
func recordedEventTypes() []reflect.Type {
	types := []reflect.Type{reflect.TypeFor[core.StoreAnswered]()}
	for _, t := range eventTypes {
		types = append(types, t)
	}
	return types
}

// Guards against an event that differs between a recorded run and its replay.
func TestRecordedEventRoundTrip(t *testing.T) {
	for _, eventType := range recordedEventTypes() {
		t.Run(eventType.Name(), func(t *testing.T) {
			want := core.Event{At: 7, Body: fillNonZero(eventType).Interface().(core.EventBody)}
			line, err := EncodeStep(want, nil)
			if err != nil {
				t.Fatal(err)
			}
			var step RecordedStep
			if err := json.Unmarshal(line, &step); err != nil {
				t.Fatal(err)
			}
			if got, err := step.DecodeEvent(); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, %v; want %+v", got, err, want)
			}
		})
	}
}

// Guards against a recorded step that crashes the replay tool.
func FuzzDecodeEvent(f *testing.F) {
	for _, eventType := range recordedEventTypes() {
		line, err := EncodeStep(core.Event{At: 7, Body: fillNonZero(eventType).Interface().(core.EventBody)}, nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		first, ok := reencodeStep(t, line, false)
		if !ok {
			return
		}
		if second, _ := reencodeStep(t, first, true); !bytes.Equal(first, second) {
			t.Fatalf("second round trip gave %s, want %s", second, first)
		}
	})
}

// reencodeStep decodes a step and encodes its event again. A step that cannot be
// decoded fails the test only if mustDecode is set.
func reencodeStep(t *testing.T, line []byte, mustDecode bool) ([]byte, bool) {
	t.Helper()
	var step RecordedStep
	err := json.Unmarshal(line, &step)
	if err != nil {
		if mustDecode {
			t.Fatalf("decode %s: %v", line, err)
		}
		return nil, false
	}
	event, err := step.DecodeEvent()
	if err != nil {
		if mustDecode {
			t.Fatalf("decode event of %s: %v", line, err)
		}
		return nil, false
	}
	out, err := EncodeStep(event, nil)
	if err != nil {
		t.Fatalf("encode %+v: %v", event, err)
	}
	return out, true
}
