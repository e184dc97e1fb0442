package roll

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/fault"
)

// maxStaged is how many staged contents an instance keeps besides the one in
// force.
const maxStaged = 2

// verifiedContent is a content that was decoded and verified against its
// digest.
type verifiedContent struct {
	ref    Reference
	bundle *bundle.Bundle
	data   content
}

// localBundles holds this instance's bundle in force and its staged contents.
type localBundles struct {
	// inForce is nil until a bundle is in force. Its version only increases.
	inForce atomic.Pointer[verifiedContent]

	// activateMu is held while a bundle is activated, so that subscribers see
	// the bundles in order.
	activateMu  sync.Mutex
	subscribers []func(*bundle.Bundle)

	mu sync.Mutex
	// staged are verified contents, the latest last; at most maxStaged.
	staged []*verifiedContent
}

func (h *localBundles) version() uint64 {
	if in := h.inForce.Load(); in != nil {
		return in.ref.Version
	}
	return 0
}

func (h *localBundles) current() *bundle.Bundle {
	if in := h.inForce.Load(); in != nil {
		return in.bundle
	}
	return nil
}

// find returns the content with this digest.
func (h *localBundles) find(digest string) (*verifiedContent, bool) {
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

// addStaged adds a verified content and removes the oldest ones above
// maxStaged.
func (h *localBundles) addStaged(s *verifiedContent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.staged = append(h.staged, s)
	if len(h.staged) > maxStaged {
		h.staged = append([]*verifiedContent(nil), h.staged[len(h.staged)-maxStaged:]...)
	}
}

// removeStaged removes the staged contents up to version v.
func (h *localBundles) removeStaged(v uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var kept []*verifiedContent
	for _, s := range h.staged {
		if s.ref.Version > v {
			kept = append(kept, s)
		}
	}
	h.staged = kept
}

// activate puts s in force and notifies the subscribers, unless the same or a
// later version is in force.
func (h *localBundles) activate(s *verifiedContent) {
	h.activateMu.Lock()
	defer h.activateMu.Unlock()
	if s.ref.Version <= h.version() {
		return
	}
	h.inForce.Store(s)
	h.removeStaged(s.ref.Version)
	for _, f := range h.subscribers {
		f(s.bundle)
	}
}

// subscribe calls f with the bundle in force, if any, and with each later one.
func (h *localBundles) subscribe(f func(*bundle.Bundle)) {
	h.activateMu.Lock()
	defer h.activateMu.Unlock()
	h.subscribers = append(h.subscribers, f)
	if b := h.current(); b != nil {
		f(b)
	}
}

// verify decodes data and checks it against ref.
func verify(ref Reference, data content) (*verifiedContent, error) {
	b, err := data.decode(ref.Version, ref.Digest)
	if err != nil {
		return nil, err
	}
	return &verifiedContent{ref: ref.WithSource(""), bundle: b, data: data}, nil
}

// withVersion returns the same content under the version number of ref.
func (s *verifiedContent) withVersion(ref Reference) *verifiedContent {
	if s.ref.Version == ref.Version {
		return s
	}
	b := s.bundle.WithVersion(ref.Version)
	return &verifiedContent{ref: ref.WithSource(""), bundle: &b, data: s.data}
}

// parts returns the requested parts of a content to another instance.
func (h *localBundles) parts(r partsRequest) (partsAnswer, error) {
	s, ok := h.find(r.Digest)
	if !ok {
		return partsAnswer{}, errNoContent(r.Digest)
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

func errNoContent(digest string) error {
	return fault.New(fault.NotFound, "no content with digest %s here", digest)
}

// fetcher fetches contents that this instance does not have.
type fetcher struct {
	*localBundles
	mesh  Mesh
	store Store
	// timeout is the limit for one call to an instance.
	timeout time.Duration
	// fetchLock allows one fetch at a time, so that a content is fetched only
	// once.
	fetchLock chan struct{}
}

// getOrFetch returns the content of ref. It fetches and verifies the content
// if this instance does not have it.
func (f *fetcher) getOrFetch(ctx context.Context, ref Reference) (*verifiedContent, error) {
	if s, ok := f.find(ref.Digest); ok {
		return s.withVersion(ref), nil
	}
	select {
	case f.fetchLock <- struct{}{}:
		defer func() { <-f.fetchLock }()
	case <-ctx.Done():
		return nil, fault.Wrap(fault.Overloaded, ctx.Err(), "wait for another fetch")
	}
	if s, ok := f.find(ref.Digest); ok {
		return s.withVersion(ref), nil
	}
	data, err := f.fetch(ctx, ref)
	if err != nil {
		return nil, err
	}
	s, err := verify(ref, data)
	if err != nil {
		return nil, err
	}
	f.addStaged(s)
	return s, nil
}

// fetch reads the content from the source that ref names. It falls back to the
// store when there is no source, or the source fails or sends another content.
func (f *fetcher) fetch(ctx context.Context, ref Reference) (content, error) {
	if ref.Source != "" {
		data, err := f.fetchFrom(ctx, ref.Source, ref.Digest)
		if err == nil && data.digest() == ref.Digest {
			return data, nil
		}
	}
	return readChunks(ctx, f.store, ref.Write, ref.Chunks)
}

// fetchFrom fetches a content from an instance. It requests only the parts
// that the bundle in force here does not contain.
func (f *fetcher) fetchFrom(ctx context.Context, source, digest string) (content, error) {
	var m manifestAnswer
	if err := f.call(ctx, source, methodManifest, manifestRequest{Digest: digest}, &m); err != nil {
		return nil, err
	}
	local := f.localParts()
	parts := make([][]byte, len(m.Parts))
	var missing []int
	for i, hash := range m.Parts {
		if parts[i] = local[hash]; parts[i] == nil {
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
	return concatParts(parts), nil
}

// call makes one call with its own timeout, so that time remains for the
// fallback to the store.
func (f *fetcher) call(ctx context.Context, to, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	return f.mesh.Call(ctx, to, method, params, result)
}

func concatParts(parts [][]byte) content {
	var c content
	for _, p := range parts {
		c = append(c, p...)
	}
	return c
}

// localParts returns the parts of the bundle in force, keyed by hash.
func (f *fetcher) localParts() map[partHash][]byte {
	byHash := map[partHash][]byte{}
	if in := f.inForce.Load(); in != nil {
		for _, p := range in.data.parts() {
			byHash[hashPart(p)] = p
		}
	}
	return byHash
}

// apply fetches ref if necessary and puts it in force, unless the same or a
// later version is in force.
func (f *fetcher) apply(ctx context.Context, ref Reference) error {
	if ref.Version <= f.version() {
		return nil
	}
	s, err := f.getOrFetch(ctx, ref)
	if err != nil {
		return err
	}
	f.activate(s)
	return nil
}
