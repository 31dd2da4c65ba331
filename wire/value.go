package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"

	"banyanrun.example/banyanrun/core"
)

// valueVersion is the version of the encoding of stored values. A host that
// reads a later version does not overwrite the value.
const valueVersion = 1

// ErrUnreadable means that a stored value is malformed, has an unsupported
// version or type, or fails its checksum.
var ErrUnreadable = errors.New("value cannot be read by this version")

// castagnoliTable is the table of the CRC-32C polynomial.
var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// envelope is the encoding of a stored value. Checksum covers Data.
type envelope struct {
	Version  int             `json:"version"`
	Type     string          `json:"type"`
	Checksum uint32          `json:"crc32c"`
	Data     json.RawMessage `json:"data"`
}

// EncodeValue encodes a value for the store.
func EncodeValue(v core.Value) ([]byte, error) {
	name, err := valueTypeName(v)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", name, err)
	}
	return json.Marshal(envelope{
		Version: valueVersion, Type: name, Checksum: crc32.Checksum(data, castagnoliTable), Data: data,
	})
}

// DecodeValue decodes a value read from the store. Its errors wrap ErrUnreadable.
func DecodeValue(raw []byte) (core.Value, error) {
	var e envelope
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnreadable, err)
	}
	if e.Version != valueVersion {
		return nil, fmt.Errorf("%w: version %d, want %d", ErrUnreadable, e.Version, valueVersion)
	}
	if sum := crc32.Checksum(e.Data, castagnoliTable); sum != e.Checksum {
		return nil, fmt.Errorf("%w: checksum %08x, want %08x", ErrUnreadable, sum, e.Checksum)
	}
	switch e.Type {
	case "owner":
		return decodeAs[core.OwnerRecord](e.Data)
	case "lease":
		return decodeAs[core.LeaseRecord](e.Data)
	case "journal":
		return decodeAs[core.JournalGroup](e.Data)
	case "document":
		return decodeAs[core.DocumentRecord](e.Data)
	}
	return nil, fmt.Errorf("%w: type %q", ErrUnreadable, e.Type)
}

// decodeAs decodes a value of type T. It rejects JSON null, which would decode
// to the zero value.
func decodeAs[T core.Value](data []byte) (core.Value, error) {
	if string(data) == "null" {
		return nil, fmt.Errorf("%w: data is null", ErrUnreadable)
	}
	var v T
	if err := json.Unmarshal(data, &v); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnreadable, err)
	}
	return v, nil
}

// valueTypeName returns the type name that the envelope of v carries.
func valueTypeName(v core.Value) (string, error) {
	switch v.(type) {
	case core.OwnerRecord:
		return "owner", nil
	case core.LeaseRecord:
		return "lease", nil
	case core.JournalGroup:
		return "journal", nil
	case core.DocumentRecord:
		return "document", nil
	}
	return "", fmt.Errorf("type %T is not a store value type", v)
}
