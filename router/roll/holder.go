package roll

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/fault"
)

// maxStaged bounds the contents that an instance holds beside the one in
// force.
const maxStaged = 2

// held is a content that was checked.
type held struct {
	ref    Reference
	bundle *bundle.Bundle
	data   content
}

// holder keeps the bundle in force on this instance and those staged.
type holder struct {
	// inForce is nil until there is one; its version only grows.
	inForce atomic.Pointer[held]

	// change is held while a bundle comes in force, so that subscribers see
	// the bundles in their order.
	change      sync.Mutex
	subscribers []func(*bundle.Bundle)

	mu sync.Mutex
	// staged are checked contents, the latest last; at most maxStaged.
	staged []*held
}

func (h *holder) version() uint64 {
	if in := h.inForce.Load(); in != nil {
		return in.ref.Version
	}
	return 0
}

func (h *holder) current() *bundle.Bundle {
	if in := h.inForce.Load(); in != nil {
		return in.bundle
	}
	return nil
}

// find returns the content with this digest.
func (h *holder) find(digest string) (*held, bool) {
	if in := h.inForce.Load(); in != nil && in.ref.Digest == digest {
		return in, true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.staged {
		if s.ref.Digest == digest {
			return s, true
		}
	}
	return nil, false
}

// keep adds a checked content.
func (h *holder) keep(s *held) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.staged = append(h.staged, s)
	if len(h.staged) > maxStaged {
		h.staged = append([]*held(nil), h.staged[len(h.staged)-maxStaged:]...)
	}
}

// drop forgets the staged contents up to version v.
func (h *holder) drop(v uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var kept []*held
	for _, s := range h.staged {
		if s.ref.Version > v {
			kept = append(kept, s)
		}
	}
	h.staged = kept
}

// put brings s in force and tells the subscribers, unless the same or a later
// version is in force.
func (h *holder) put(s *held) {
	h.change.Lock()
	defer h.change.Unlock()
	if s.ref.Version <= h.version() {
		return
	}
	h.inForce.Store(s)
	h.drop(s.ref.Version)
	for _, f := range h.subscribers {
		f(s.bundle)
	}
}

// subscribe calls f with the bundle in force, if any, and with each later one.
func (h *holder) subscribe(f func(*bundle.Bundle)) {
	h.change.Lock()
	defer h.change.Unlock()
	h.subscribers = append(h.subscribers, f)
	if b := h.current(); b != nil {
		f(b)
	}
}

// check decodes and checks a content for ref.
func check(ref Reference, data content) (*held, error) {
	b, err := data.decode(ref.Version, ref.Digest)
	if err != nil {
		return nil, err
	}
	return &held{ref: ref.WithSource(""), bundle: b, data: data}, nil
}

// as returns the same content under the version of ref.
func (s *held) as(ref Reference) *held {
	if s.ref.Version == ref.Version {
		return s
	}
	b := s.bundle.WithVersion(ref.Version)
	return &held{ref: ref.WithSource(""), bundle: &b, data: s.data}
}

// parts answers another instance that fetches a content.
func (h *holder) parts(r partsRequest) (partsAnswer, error) {
	s, ok := h.find(r.Digest)
	if !ok {
		return partsAnswer{}, notHeld(r.Digest)
	}
	all := s.data.parts()
	var answer partsAnswer
	size := 0
	for _, i := range r.Indexes {
		if i < 0 || i >= len(all) {
			return partsAnswer{}, fault.New(fault.BadRequest, "found %d, allowed is 0 to %d", i, len(all)-1).WithField("indexes")
		}
		if size += len(all[i]); size > maxPartsBytes && len(answer.Parts) > 0 {
			break
		}
		answer.Parts = append(answer.Parts, all[i])
	}
	return answer, nil
}

func notHeld(digest string) error {
	return fault.New(fault.NotFound, "no content with digest %s here", digest)
}

// fetcher brings contents to this instance.
type fetcher struct {
	*holder
	mesh  Mesh
	store Store
	// timeout bounds one call to an instance.
	timeout time.Duration
	// one lets one fetch run at a time, so that a content is fetched once.
	one chan struct{}
}

// hold returns the content of ref, and fetches and checks it where this
// instance does not hold it.
func (f *fetcher) hold(ctx context.Context, ref Reference) (*held, error) {
	if s, ok := f.find(ref.Digest); ok {
		return s.as(ref), nil
	}
	select {
	case f.one <- struct{}{}:
		defer func() { <-f.one }()
	case <-ctx.Done():
		return nil, fault.Wrap(fault.Overloaded, ctx.Err(), "wait for another fetch")
	}
	if s, ok := f.find(ref.Digest); ok {
		return s.as(ref), nil
	}
	data, err := f.fetch(ctx, ref)
	if err != nil {
		return nil, err
	}
	s, err := check(ref, data)
	if err != nil {
		return nil, err
	}
	f.keep(s)
	return s, nil
}

// fetch takes the content from the instance that ref names, or from the store.
func (f *fetcher) fetch(ctx context.Context, ref Reference) (content, error) {
	if ref.Source != "" {
		data, err := f.fetchFrom(ctx, ref.Source, ref.Digest)
		if err == nil && data.digest() == ref.Digest {
			return data, nil
		}
	}
	return readPacks(ctx, f.store, ref.Write, ref.Packs)
}

// fetchFrom asks an instance for the parts that this one does not hold.
func (f *fetcher) fetchFrom(ctx context.Context, source, digest string) (content, error) {
	var m manifestAnswer
	if err := f.call(ctx, source, methodManifest, manifestRequest{Digest: digest}, &m); err != nil {
		return nil, err
	}
	found := f.heldParts()
	parts := make([][]byte, len(m.Parts))
	var missing []int
	for i, hash := range m.Parts {
		if parts[i] = found[hash]; parts[i] == nil {
			missing = append(missing, i)
		}
	}
	for len(missing) > 0 {
		var a partsAnswer
		if err := f.call(ctx, source, methodParts, partsRequest{Digest: digest, Indexes: missing}, &a); err != nil {
			return nil, err
		}
		if len(a.Parts) == 0 || len(a.Parts) > len(missing) {
			return nil, fault.New(fault.Internal, "%s sent %d parts of %d", source, len(a.Parts), len(missing))
		}
		for i, p := range a.Parts {
			parts[missing[i]] = p
		}
		missing = missing[len(a.Parts):]
	}
	return join(parts), nil
}

// call bounds one call, so that time is left for the store.
func (f *fetcher) call(ctx context.Context, to, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	return f.mesh.Call(ctx, to, method, params, result)
}

func join(parts [][]byte) content {
	var c content
	for _, p := range parts {
		c = append(c, p...)
	}
	return c
}

// heldParts returns the parts of the bundle in force by their hashes.
func (f *fetcher) heldParts() map[partHash][]byte {
	found := map[partHash][]byte{}
	if in := f.inForce.Load(); in != nil {
		for _, p := range in.data.parts() {
			found[hashPart(p)] = p
		}
	}
	return found
}

// apply brings ref in force, unless the same or a later version is.
func (f *fetcher) apply(ctx context.Context, ref Reference) error {
	if ref.Version <= f.version() {
		return nil
	}
	s, err := f.hold(ctx, ref)
	if err != nil {
		return err
	}
	f.put(s)
	return nil
}
