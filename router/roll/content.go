package roll

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/platformapi"
	"github.com/cespare/xxhash/v2"
)

// Sizes of the pieces in which a content is stored and sent.
const (
	// chunkBytes is the maximum size of one value in the store.
	chunkBytes = 768 << 10
	// partMask ends a part after one element in 64 on average.
	partMask = 63
	// maxPartBytes is the maximum size of a part.
	maxPartBytes = 256 << 10
	// maxPartsBytes limits the total size of the parts in one response to
	// another instance; a single part is always sent.
	maxPartsBytes = 512 << 10
)

// content is the JSON of a bundle without its version. Its SHA-256 is the
// bundle's digest.
type content []byte

// encode returns the content of b and its digest.
func encode(b bundle.Bundle) (content, string, error) {
	data, err := json.Marshal(b.WithVersion(0))
	if err != nil {
		return nil, "", fault.Wrap(fault.Internal, err, "encode bundle")
	}
	return data, content(data).digest(), nil
}

func (c content) digest() string {
	sum := sha256.Sum256(c)
	return hex.EncodeToString(sum[:])
}

// chunks splits the content into values for the store.
func (c content) chunks() [][]byte {
	var all [][]byte
	for rest := []byte(c); len(rest) > 0; {
		n := min(chunkBytes, len(rest))
		all = append(all, rest[:n])
		rest = rest[n:]
	}
	return all
}

// partHash identifies a part by its hash and length.
type partHash string

func hashPart(part []byte) partHash {
	return partHash(strconv.FormatUint(xxhash.Sum64(part), 16) + "." + strconv.Itoa(len(part)))
}

var elementEnd = []byte("},{")

// parts splits the content at boundaries that depend on the content itself
// (content-defined chunking): a change to one element changes only the part
// that contains it.
func (c content) parts() [][]byte {
	var all [][]byte
	start, element := 0, 0
	cut := func(end int) {
		for end-start > maxPartBytes {
			all = append(all, c[start:start+maxPartBytes])
			start += maxPartBytes
		}
		if end > start {
			all = append(all, c[start:end])
			start = end
		}
	}
	for {
		i := bytes.Index(c[element:], elementEnd)
		if i < 0 {
			cut(len(c))
			return all
		}
		end := element + i + 1
		if xxhash.Sum64(c[element:end])&partMask == 0 {
			cut(end)
		}
		element = end
	}
}

// manifest returns the hashes of the parts in order.
func (c content) manifest() []partHash {
	parts := c.parts()
	hashes := make([]partHash, len(parts))
	for i, p := range parts {
		hashes[i] = hashPart(p)
	}
	return hashes
}

// decode checks the content against its digest and returns the bundle with the
// given version number.
func (c content) decode(version uint64, digest string) (*bundle.Bundle, error) {
	if found := c.digest(); found != digest {
		return nil, fault.New(fault.BadRequest, "found digest %s, want %s", found, digest).WithField("content")
	}
	var b bundle.Bundle
	if err := json.Unmarshal(c, &b); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode content").WithField("content")
	}
	if err := b.Validate(); err != nil {
		return nil, err
	}
	b = b.WithVersion(version)
	return &b, nil
}

func chunkKey(write string, n int) string { return fmt.Sprintf("bundle/content/%s/%04d", write, n) }

// writeChunks stores the content under the identifier of its write and returns
// the number of chunks. Repeating a write is safe, because it finds the same
// values; different values under the identifier are a conflict.
func writeChunks(ctx context.Context, store Store, write string, c content) (int, error) {
	chunks := c.chunks()
	for i, p := range chunks {
		if err := writeChunk(ctx, store, chunkKey(write, i), p); err != nil {
			return 0, err
		}
	}
	return len(chunks), nil
}

func writeChunk(ctx context.Context, store Store, key string, value []byte) error {
	mustNotExist := uint64(0)
	_, err := store.Put(ctx, platformapi.PutRequest{Key: key, Value: value, IfRevision: &mustNotExist})
	if err == nil {
		return nil
	}
	entry, _, readErr := store.Get(ctx, key)
	if readErr != nil || entry == nil {
		return err
	}
	if !bytes.Equal(entry.Value, value) {
		return fault.New(fault.Conflict, "another bundle was written with this identifier").WithField("write")
	}
	return nil
}

func readChunks(ctx context.Context, store Store, write string, n int) (content, error) {
	var c content
	for i := range n {
		entry, _, err := store.Get(ctx, chunkKey(write, i))
		if err != nil {
			return nil, err
		}
		if entry == nil {
			return nil, fault.New(fault.NotFound, "no %s", chunkKey(write, i))
		}
		c = append(c, entry.Value...)
	}
	return c, nil
}

// deleteChunks deletes the content of a version whose record was removed from
// the state.
func deleteChunks(ctx context.Context, store Store, write string, n int) error {
	for i := range n {
		if _, err := store.Delete(ctx, platformapi.DeleteRequest{Key: chunkKey(write, i)}); err != nil {
			return err
		}
	}
	return nil
}
