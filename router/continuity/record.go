package continuity

import (
	"encoding/json"
	"slices"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/inventory"
)

const (
	// maxVersions bounds the versions of a record, and maxRecordBytes its form in the
	// store, which anyone may write.
	maxVersions    = 64
	maxRecordBytes = 16 << 10
)

// record is the form of a service's versions in the store.
type record struct {
	Versions []string `json:"versions"`
}

// Encode returns the form of a record in the store.
func Encode(v inventory.ServiceVersions) ([]byte, error) {
	data, err := json.Marshal(record{Versions: v.Versions})
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode the versions of a service")
	}
	return data, nil
}

// Decode decodes the record of a service, written at a revision. The error names the invalid
// field.
func Decode(service string, data []byte, revision era.Revision) (*inventory.ServiceVersions, error) {
	if len(data) > maxRecordBytes {
		return nil, fault.New(fault.TooLarge, "found %d bytes, the maximum is %d", len(data), maxRecordBytes).WithField("record")
	}
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode the versions of a service").WithField("record")
	}
	if len(r.Versions) > maxVersions {
		return nil, fault.New(fault.BadRequest, "found %d, at most %d are allowed", len(r.Versions), maxVersions).WithField("versions")
	}
	slices.Sort(r.Versions)
	return &inventory.ServiceVersions{Service: service, Versions: slices.Compact(r.Versions), Revision: revision}, nil
}
