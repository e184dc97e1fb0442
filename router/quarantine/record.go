package quarantine

import (
	"encoding/json"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/inventory"
)

// record is the form of a quarantine in the store.
type record struct {
	Service string   `json:"service"`
	Parts   []string `json:"parts"`
	// EvidenceMS is the time from the first crash to the decision.
	EvidenceMS int64 `json:"evidence_ms"`
}

// maxRecordBytes bounds a quarantine in the store, which anyone may write.
const maxRecordBytes = 4096

// Encode returns the form of a quarantine in the store.
func Encode(q inventory.Quarantine) ([]byte, error) {
	data, err := json.Marshal(record{Service: q.Service, Parts: q.Parts, EvidenceMS: q.Evidence.Milliseconds()})
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode a quarantine")
	}
	return data, nil
}

// Decode decodes a quarantine of the store. The error names the invalid field.
func Decode(id string, data []byte) (*inventory.Quarantine, error) {
	if len(data) > maxRecordBytes {
		return nil, fault.New(fault.TooLarge, "found %d bytes, the maximum is %d", len(data), maxRecordBytes).WithField("quarantine")
	}
	var b record
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode a quarantine").WithField("quarantine")
	}
	if b.EvidenceMS < 0 || b.EvidenceMS > Life.Milliseconds() {
		return nil, fault.New(fault.BadRequest, "found %d", b.EvidenceMS).WithField("evidence_ms")
	}
	q := &inventory.Quarantine{ID: id, Service: b.Service, Parts: b.Parts, Evidence: time.Duration(b.EvidenceMS) * time.Millisecond}
	if err := Validate(q); err != nil {
		return nil, err
	}
	return q, nil
}
