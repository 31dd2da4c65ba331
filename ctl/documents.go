package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/document"
	"banyanrun.example/banyanrun/wire"
)

// documentPath returns the URL path of a team's document.
func documentPath(team core.TeamName) string {
	return wire.PathDocuments + "/" + url.PathEscape(string(team))
}

// Validate checks a document without contacting a host. With strict, warnings
// make the document invalid.
func Validate(text []byte, fleet []core.ListedWorker, strict bool) Step {
	doc, warnings, err := document.Validate(text, fleet)
	result := Result{Stderr: warningText(warnings)}
	if err != nil {
		result.Stderr += err.Error() + "\n"
		result.Exit = ExitNotRun
		return finalStep(result)
	}
	if strict && len(warnings) > 0 {
		result.Exit = ExitNotRun
		return finalStep(result)
	}
	result.Stdout = fmt.Sprintf("document of team %s is valid: %d kinds, %d services\n",
		doc.Team, len(doc.Kinds), len(doc.Services))
	return finalStep(result)
}

func warningText(warnings []document.Finding) string {
	var b strings.Builder
	for _, w := range warnings {
		b.WriteString(w.String() + "\n")
	}
	return b.String()
}

// ApplyOptions are the options of Apply.
type ApplyOptions struct {
	Author string
	// Base is the revision that the edit started from. If it is nil, the
	// revision in force is read first.
	Base *core.Revision
	JSON bool
}

// Apply validates a document and puts it in force.
func Apply(text []byte, fleet []core.ListedWorker, opts ApplyOptions) Step {
	doc, warnings, err := document.Validate(text, fleet)
	if err != nil {
		return finalStep(Result{Stderr: warningText(warnings) + err.Error() + "\n", Exit: ExitNotRun})
	}
	notes := warningText(warnings)
	if opts.Base != nil {
		return putDocument(doc, *opts.Base, opts, notes)
	}
	return withCurrentDocument(doc.Team, func(v *wire.DocumentVersion, _ *core.Document) Step {
		return putDocument(doc, v.Revision, opts, notes)
	})
}

// withCurrentDocument reads the document in force and passes it to then. If the
// team has none, the revision is 0 and the document is nil.
func withCurrentDocument(team core.TeamName, then func(*wire.DocumentVersion, *core.Document) Step) Step {
	req := getRequest(documentPath(team), nil)
	return Step{Send: req, Then: func(resp *Response) Step {
		var v wire.DocumentVersion
		p := decodeResponse(req, resp, &v)
		if p != nil && p.reason == core.ReasonUnknownTeam {
			return then(&wire.DocumentVersion{Team: team}, nil)
		}
		if p != nil {
			return finalStep(p.result())
		}
		doc, err := document.Decode(v.Document)
		if err != nil {
			return finalStep(undecodableResult(v.Revision, err))
		}
		return then(&v, doc)
	}}
}

// undecodableResult reports a document that this program cannot decode, such as
// one with a later schema.
func undecodableResult(revision core.Revision, err error) Result {
	return Result{
		Stderr: fmt.Sprintf("document of revision %d is not understood: %v\n", revision, err),
		Exit:   ExitUnreachable,
	}
}

// putDocument sends an edit that is based on revision base. The notes are
// printed to standard error with the result.
func putDocument(doc *core.Document, base core.Revision, opts ApplyOptions, notes string) Step {
	req := &Request{
		Method: http.MethodPut, Path: documentPath(doc.Team), Body: document.Encode(doc),
		Header: http.Header{
			"Content-Type":     {"application/json"},
			wire.HeaderIfMatch: {strconv.FormatInt(int64(base), 10)},
			wire.HeaderAuthor:  {opts.Author},
		},
	}
	return Step{Send: req, Then: func(resp *Response) Step {
		var v wire.DocumentVersion
		result := Result{}
		switch p := decodeResponse(req, resp, &v); {
		case p != nil && p.conflict != nil:
			result = conflictResult(p, doc, base, opts.JSON)
		case p != nil:
			result = p.result()
		case opts.JSON:
			result.Stdout = indentedJSON(&v)
		default:
			result.Stdout = fmt.Sprintf("document of team %s applied at revision %d\n", doc.Team, v.Revision)
		}
		result.Stderr = notes + result.Stderr
		return finalStep(result)
	}}
}

// conflictResult reports the version in force and the differences of the
// proposed one.
func conflictResult(p *problem, proposed *core.Document, base core.Revision, asJSON bool) Result {
	result := p.result()
	if asJSON {
		result.Stdout = indentedJSON(p.conflict)
		return result
	}
	inForce := p.conflict.Current
	if inForce == nil {
		result.Stderr += fmt.Sprintf("the edit is based on revision %d; no document is in force\n", base)
		return result
	}
	result.Stderr += fmt.Sprintf("the edit is based on revision %d; in force is revision %d by %s at %s\n",
		base, inForce.Revision, orDash(inForce.Author), formatTime(inForce.TimeUnixMS))
	doc, err := document.Decode(inForce.Document)
	if err != nil {
		result.Stderr += undecodableResult(inForce.Revision, err).Stderr
		return result
	}
	result.Stderr += "from the version in force to the proposed one:\n" + changesText(document.Diff(doc, proposed))
	return result
}

func changesText(changes []document.Change) string {
	var b strings.Builder
	for _, c := range changes {
		b.WriteString(c.String() + "\n")
	}
	return b.String()
}

// Get prints the document in force in a form that can be edited and applied.
func Get(team core.TeamName, asJSON bool) Step {
	return withCurrentDocument(team, func(v *wire.DocumentVersion, doc *core.Document) Step {
		if doc == nil {
			return finalStep(Result{Stderr: fmt.Sprintf("team %q has no document\n", team), Exit: ExitNotRun})
		}
		if asJSON {
			return finalStep(Result{Stdout: indentedJSON(v)})
		}
		return finalStep(Result{
			Stdout: string(document.Encode(doc)),
			Stderr: fmt.Sprintf("revision %d by %s at %s\n", v.Revision, orDash(v.Author), formatTime(v.TimeUnixMS)),
		})
	})
}

// History lists the latest versions of a document, newest first.
func History(team core.TeamName, asJSON bool) Step {
	return showView(getRequest(documentPath(team)+"/"+wire.SegmentHistory, nil), asJSON, historyTable)
}

func historyTable(h *wire.DocumentHistory) string {
	rows := [][]string{{"REVISION", "TIME", "AUTHOR", "CHANGES"}}
	for i, v := range h.Versions {
		changes := "-" // the previous version is no longer stored
		if i+1 < len(h.Versions) {
			changes = countChanges(h.Versions[i+1].Document, v.Document)
		}
		rows = append(rows, []string{fmt.Sprint(v.Revision), formatTime(v.TimeUnixMS), orDash(v.Author), changes})
	}
	return table(rows...)
}

// countChanges returns the number of fields that differ between two documents.
func countChanges(old, new json.RawMessage) string {
	before, err := document.Decode(old)
	if err != nil {
		return "unreadable"
	}
	after, err := document.Decode(new)
	if err != nil {
		return "unreadable"
	}
	return strconv.Itoa(len(document.Diff(before, after)))
}

// DiffFile compares the document in force with a file.
func DiffFile(text []byte, asJSON bool) Step {
	doc, err := document.Decode(text)
	if err != nil {
		return finalStep(Result{Stderr: err.Error() + "\n", Exit: ExitNotRun})
	}
	return withCurrentDocument(doc.Team, func(v *wire.DocumentVersion, inForce *core.Document) Step {
		return finalStep(diffResult(document.Diff(inForce, doc), asJSON))
	})
}

// DiffRevisions compares two versions of a team's document.
func DiffRevisions(team core.TeamName, from, to core.Revision, asJSON bool) Step {
	req := getRequest(documentPath(team)+"/"+wire.SegmentHistory, nil)
	return Step{Send: req, Then: func(resp *Response) Step {
		var history wire.DocumentHistory
		if p := decodeResponse(req, resp, &history); p != nil {
			return finalStep(p.result())
		}
		var versions [2]*core.Document
		for i, revision := range []core.Revision{from, to} {
			index := slices.IndexFunc(history.Versions, func(v wire.DocumentVersion) bool { return v.Revision == revision })
			if index < 0 {
				return finalStep(Result{
					Stderr: fmt.Sprintf("revision %d of team %q is not in the history\n", revision, team),
					Exit:   ExitNotRun,
				})
			}
			doc, err := document.Decode(history.Versions[index].Document)
			if err != nil {
				return finalStep(undecodableResult(revision, err))
			}
			versions[i] = doc
		}
		return finalStep(diffResult(document.Diff(versions[0], versions[1]), asJSON))
	}}
}

func diffResult(changes []document.Change, asJSON bool) Result {
	switch {
	case asJSON:
		return Result{Stdout: indentedJSON(append([]document.Change{}, changes...))}
	case len(changes) == 0:
		return Result{Stderr: "no differences\n"}
	}
	return Result{Stdout: changesText(changes)}
}
