package inventory

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"time"

	"cicadawell.dev/fleet/fault"
	"github.com/hashicorp/go-hclog"
)

const (
	// minCompressedBytes is the size from which answers are compressed. Smaller ones fit
	// into a few packets anyway.
	minCompressedBytes = 4 << 10
	// maxAnswerBytes bounds an answer after decompression. It is the bound on messages
	// without compression.
	maxAnswerBytes = 8 << 20
)

// largeAnswer is the size from which an answer is logged, in bytes. It takes 50 ms on a link
// of 10 Mbit/s.
const largeAnswer = 64 << 10

// LogSize logs the size of a large answer of the store or of another instance.
func LogSize(log hclog.Logger, from string, bytes int, took time.Duration) {
	if bytes >= largeAnswer {
		log.Info("large answer", "from", from, "bytes", bytes, "tookMillis", took.Milliseconds())
	}
}

// compressed returns the response in the form for instances that take compressed answers.
func (resp getResponse) compressed() (any, error) {
	raw, err := json.Marshal(resp)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode an answer").WithField(methodInventory)
	}
	if len(raw) < minCompressedBytes {
		return json.RawMessage(raw), nil
	}
	data, err := deflate(raw)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "compress an answer").WithField(methodInventory)
	}
	return getResponse{Compressed: data}, nil
}

func deflate(raw []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	err = w.Close()
	return buf.Bytes(), err
}

// decompressed returns the response that a compressed one contains, or the response itself.
func (resp getResponse) decompressed() (getResponse, error) {
	if len(resp.Compressed) == 0 {
		return resp, nil
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(resp.Compressed)), maxAnswerBytes+1))
	if err != nil {
		return getResponse{}, fault.Wrap(fault.BadRequest, err, "decompress an answer").WithField("compressed")
	}
	if len(raw) > maxAnswerBytes {
		return getResponse{}, fault.New(fault.TooLarge, "more than %d bytes", maxAnswerBytes).WithField("compressed")
	}
	var out getResponse
	if err := json.Unmarshal(raw, &out); err != nil {
		return getResponse{}, fault.Wrap(fault.BadRequest, err, "decode an answer").WithField("compressed")
	}
	return out, nil
}
