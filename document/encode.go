// Package document decodes, validates, encodes and compares service documents of
// teams in their JSON form.
//
// The decoder is strict: it rejects unknown fields, duplicate keys, wrong types
// and trailing data, and reports the line, column and field path of every
// finding. docs/document.md describes each field.
package document

import (
	"encoding/json"
	"time"

	"banyanrun.example/banyanrun/core"
)

// SchemaVersion is the version of the JSON form that this package reads and
// writes.
const SchemaVersion = 1

// MaxBytes is the size of the largest accepted document. All versions in a
// document's history share one store value of at most 1 MiB.
const MaxBytes = 256 << 10

// documentForm is the JSON form of core.Document. The fields that decode.go
// accepts have the names of its tags.
type documentForm struct {
	Schema      int             `json:"schema"`
	Team        core.TeamName   `json:"team"`
	Service     string          `json:"service"`
	Weight      int64           `json:"weight"`
	Quota       resourcesForm   `json:"quota"`
	Kinds       []kindForm      `json:"kinds"`
	GiveUpFirst []core.KindName `json:"give_up_first,omitempty"`
	Services    []serviceForm   `json:"services,omitempty"`
}

// resourcesForm is the JSON form of core.Resources.
type resourcesForm struct {
	MilliCPU     int64 `json:"milli_cpu"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators,omitempty"`
	Slots        int64 `json:"slots"`
	Connections  int64 `json:"connections,omitempty"`
}

// kindForm is the JSON form of core.Kind.
type kindForm struct {
	Name            core.KindName   `json:"name"`
	Urgency         core.Urgency    `json:"urgency"`
	Idempotent      bool            `json:"idempotent"`
	Request         resourcesForm   `json:"request"`
	RunTime         duration        `json:"run_time"`
	StartWithin     duration        `json:"start_within,omitempty"`
	Deadline        duration        `json:"deadline"`
	GangSize        int             `json:"gang_size"`
	RestartGang     bool            `json:"restart_gang,omitempty"`
	MaxAttempts     int             `json:"max_attempts"`
	QueueLimit      int             `json:"queue_limit"`
	Preemption      *preemptionForm `json:"preemption,omitempty"`
	CrossRegion     bool            `json:"cross_region,omitempty"`
	ProgressTimeout duration        `json:"progress_timeout,omitempty"`
}

// preemptionForm is the JSON form of core.PreemptionPolicy.
type preemptionForm struct {
	Throttle   bool `json:"throttle,omitempty"`
	Checkpoint bool `json:"checkpoint,omitempty"`
	Stop       bool `json:"stop,omitempty"`
	MaxTimes   int  `json:"max_times,omitempty"`
}

// serviceForm is the JSON form of core.Service.
type serviceForm struct {
	Name        string            `json:"name"`
	Kind        core.KindName     `json:"kind"`
	Replicas    int               `json:"replicas"`
	Payload     string            `json:"payload,omitempty"`
	DataCentres []core.DataCentre `json:"data_centres,omitempty"`
}

// duration is encoded as a string such as "1m30s".
type duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Encode returns the JSON form of d. Decode returns an equal document for it.
func Encode(d *core.Document) []byte {
	f := documentForm{
		Schema: SchemaVersion, Team: d.Team, Service: d.Service, Weight: d.Weight,
		Quota: resourcesForm(d.Quota), Kinds: []kindForm{}, GiveUpFirst: d.GiveUpFirst,
	}
	for i := range d.Kinds {
		f.Kinds = append(f.Kinds, encodeKind(&d.Kinds[i]))
	}
	for _, s := range d.Services {
		f.Services = append(f.Services, serviceForm(s))
	}
	out, err := json.MarshalIndent(&f, "", "  ")
	if err != nil {
		// Every field is a string, a number or a bool, and the decoder
		// accepts only valid urgencies, so an error here is a bug.
		panic("document: encode: " + err.Error())
	}
	return append(out, '\n')
}

func encodeKind(k *core.Kind) kindForm {
	f := kindForm{
		Name: k.Name, Urgency: k.Urgency, Idempotent: k.Idempotent,
		Request: resourcesForm(k.Request), RunTime: duration(k.RunTime),
		StartWithin: duration(k.StartWithin), Deadline: duration(k.Deadline),
		GangSize: k.GangSize, RestartGang: k.RestartGang,
		MaxAttempts: k.MaxAttempts, QueueLimit: k.QueueLimit,
		CrossRegion: k.CrossRegion, ProgressTimeout: duration(k.ProgressTimeout),
	}
	if k.Preemption != (core.PreemptionPolicy{}) {
		p := preemptionForm(k.Preemption)
		f.Preemption = &p
	}
	return f
}
