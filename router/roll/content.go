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

// Sizes of the pieces that a content is stored and sent in.
const (
	// packBytes is the size of a value in the store.
	packBytes = 768 << 10
	// partMask makes one element in 64 end a part.
	partMask = 63
	// maxPartBytes bounds a part.
	maxPartBytes = 256 << 10
	// maxPartsBytes bounds the parts in one answer to another instance.
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

// packs cuts the content into values for the store.
func (c content) packs() [][]byte {
	var all [][]byte
	for rest := []byte(c); len(rest) > 0; {
		n := min(packBytes, len(rest))
		all = append(all, rest[:n])
		rest = rest[n:]
	}
	return all
}

// partHash identifies a part.
type partHash string

func hashPart(part []byte) partHash {
	return partHash(strconv.FormatUint(xxhash.Sum64(part), 16) + "." + strconv.Itoa(len(part)))
}

var elementEnd = []byte("},{")

// parts cuts the content where its own text says so: a change of one element
// changes the part that it stands in and leaves the others as they are.
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

// manifest returns the hashes of the parts in their order.
func (c content) manifest() []partHash {
	parts := c.parts()
	hashes := make([]partHash, len(parts))
	for i, p := range parts {
		hashes[i] = hashPart(p)
	}
	return hashes
}

// decode checks the content against its digest and returns the bundle as
// version.
func (c content) decode(version uint64, digest string) (*bundle.Bundle, error) {
	if found := c.digest(); found != digest {
		return nil, fault.New(fault.BadRequest, "found digest %s, want %s", found, digest).WithField("content")
	}
	var b bundle.Bundle
	if err := json.Unmarshal(c, &b); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode content").WithField("content")
	}
	if err := b.Check(); err != nil {
		return nil, err
	}
	b = b.WithVersion(version)
	return &b, nil
}

func packKey(write string, n int) string { return fmt.Sprintf("bundle/content/%s/%04d", write, n) }

// writePacks stores the content under the identifier of its write. A repeat
// finds the values there; other values there are a conflict.
func writePacks(ctx context.Context, store Store, write string, c content) (int, error) {
	packs := c.packs()
	for i, p := range packs {
		if err := writePack(ctx, store, packKey(write, i), p); err != nil {
			return 0, err
		}
	}
	return len(packs), nil
}

func writePack(ctx context.Context, store Store, key string, value []byte) error {
	absent := uint64(0)
	_, err := store.Put(ctx, platformapi.PutRequest{Key: key, Value: value, IfRevision: &absent})
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

func readPacks(ctx context.Context, store Store, write string, n int) (content, error) {
	var c content
	for i := range n {
		entry, _, err := store.Get(ctx, packKey(write, i))
		if err != nil {
			return nil, err
		}
		if entry == nil {
			return nil, fault.New(fault.NotFound, "no %s", packKey(write, i))
		}
		c = append(c, entry.Value...)
	}
	return c, nil
}

// deletePacks removes the content of a version that the state forgot.
func deletePacks(ctx context.Context, store Store, write string, n int) error {
	for i := range n {
		if _, err := store.Delete(ctx, platformapi.DeleteRequest{Key: packKey(write, i)}); err != nil {
			return err
		}
	}
	return nil
}
