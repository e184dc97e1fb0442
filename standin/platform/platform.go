// Package platform simulates the services of the platform: the key-value service,
// the list of instances, which lags behind, and the rate-limited weight store.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/platformapi"
	"cicadawell.dev/standin/endpoint"
	"cicadawell.dev/standin/store"
	"github.com/gin-gonic/gin"
	"golang.org/x/sync/errgroup"
)

const (
	// instancePrefix is the prefix of the keys that instances register.
	instancePrefix = "instances/"
	// listPeriod is the time between two reads of the list of instances.
	listPeriod = 50 * time.Millisecond
	// maxBodyBytes limits the body of a call; values are encoded in base64.
	maxBodyBytes = 2 * platformapi.MaxValueBytes
	// weightBytes is the size of every model in the weight store.
	weightBytes = 1 << 30
)

// Config holds the settings and limits of the services.
type Config struct {
	Listen string
	// ListLag is the age of the list of instances when it is published.
	ListLag time.Duration
	// ReadsPerSecond and WritesPerSecond limit the key-value service,
	// WeightsPerSecond the weight store; zero means no limit.
	ReadsPerSecond, WritesPerSecond, WeightsPerSecond float64
}

// Record holds the number of calls to the key-value service and the weight store
// by path. A watch that waits counts as one call.
type Record struct {
	Calls map[string]int64 `json:"calls"`
}

// Platform serves the simulated services over HTTP.
type Platform struct {
	*endpoint.Endpoint
	cfg     Config
	clock   clock.Clock
	store   *store.Store
	reads   *bucket
	writes  *bucket
	weights *bucket
	// lostWriteAnswers is the number of further successful writes whose
	// answers get lost; it may be negative.
	lostWriteAnswers atomic.Int64
	// list is the published list of instances.
	list atomic.Pointer[platformapi.InstancesResponse]

	mu    sync.Mutex
	calls map[string]int64
}

// New returns a platform with its routes registered.
func New(cfg Config, clk clock.Clock) *Platform {
	p := &Platform{
		Endpoint: endpoint.New(clk),
		cfg:      cfg,
		clock:    clk,
		store:    store.New(clk),
		reads:    newBucket(clk, cfg.ReadsPerSecond),
		writes:   newBucket(clk, cfg.WritesPerSecond),
		weights:  newBucket(clk, cfg.WeightsPerSecond),
		calls:    map[string]int64{},
	}
	p.list.Store(&platformapi.InstancesResponse{Instances: []platformapi.Instance{}})
	p.OnFaults(func(f endpoint.Faults) { p.lostWriteAnswers.Store(f.LoseWrites) })
	p.routes()
	return p
}

func (p *Platform) routes() {
	read := func(path string, h gin.HandlerFunc) { p.POST(path, p.rateLimit(p.reads), h) }
	write := func(path string, h gin.HandlerFunc) { p.POST(path, p.rateLimit(p.writes), h) }
	read(platformapi.PathGet, handle(func(_ *gin.Context, req platformapi.GetRequest) (int, any) {
		return http.StatusOK, p.store.Get(req.Key)
	}))
	read(platformapi.PathList, handle(func(_ *gin.Context, req platformapi.ListRequest) (int, any) {
		return http.StatusOK, p.store.List(req.Prefix)
	}))
	read(platformapi.PathWatch, handle(func(c *gin.Context, req platformapi.WatchRequest) (int, any) {
		ctx, cancel := p.WithShutdown(c.Request.Context())
		defer cancel()
		return http.StatusOK, p.store.Watch(ctx, req)
	}))
	write(platformapi.PathPut, handleWrite(p, p.put))
	write(platformapi.PathDelete, handleWrite(p, func(req platformapi.DeleteRequest) (int, any) {
		return writeStatus(p.store.Delete(req))
	}))
	write(platformapi.PathGrant, handleWrite(p, func(req platformapi.GrantRequest) (int, any) {
		id := p.store.Grant(time.Duration(req.TTLMillis) * time.Millisecond)
		return http.StatusOK, platformapi.LeaseResponse{Lease: id, TTLMillis: req.TTLMillis}
	}))
	write(platformapi.PathKeepAlive, handleWrite(p, func(req platformapi.LeaseRequest) (int, any) {
		ttl, alive := p.store.KeepAlive(req.Lease)
		return leaseStatus(req.Lease, ttl, alive)
	}))
	write(platformapi.PathRevoke, handleWrite(p, func(req platformapi.LeaseRequest) (int, any) {
		return leaseStatus(req.Lease, 0, p.store.Revoke(req.Lease))
	}))
	p.GET(platformapi.PathInstances, func(c *gin.Context) { c.JSON(http.StatusOK, p.list.Load()) })
	p.GET(platformapi.PathWeights+":model", p.rateLimit(p.weights), serveWeights)
	p.GET(endpoint.PathRecord, p.serveRecord)
}

// rateLimit counts each call and rejects it while b is empty.
func (p *Platform) rateLimit(b *bucket) gin.HandlerFunc {
	return func(c *gin.Context) {
		p.mu.Lock()
		p.calls[c.FullPath()]++
		p.mu.Unlock()
		if wait := b.take(); wait > 0 {
			c.Header("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
			c.AbortWithStatus(http.StatusTooManyRequests)
		}
	}
}

// handle decodes the body and answers with the status and message that f returns,
// unless f has aborted the call.
func handle[T any](f func(*gin.Context, T) (int, any)) gin.HandlerFunc {
	return func(c *gin.Context) {
		c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes)
		req, ok := endpoint.DecodeBody[T](c)
		if !ok {
			return
		}
		if status, res := f(c, req); !c.IsAborted() {
			c.JSON(status, res)
		}
	}
}

// handleWrite is like handle, but closes the connection of a successful write
// without an answer while lostWriteAnswers is positive.
func handleWrite[T any](p *Platform, f func(T) (int, any)) gin.HandlerFunc {
	return handle(func(c *gin.Context, req T) (int, any) {
		status, res := f(req)
		if status == http.StatusOK && p.lostWriteAnswers.Add(-1) >= 0 {
			endpoint.CloseConnection(c)
		}
		return status, res
	})
}

func (p *Platform) put(req platformapi.PutRequest) (int, any) {
	if len(req.Value) > platformapi.MaxValueBytes {
		return http.StatusRequestEntityTooLarge, platformapi.WriteResponse{}
	}
	return writeStatus(p.store.Put(req))
}

func writeStatus(res platformapi.WriteResponse, v store.WriteOutcome) (int, any) {
	switch v {
	case store.RevisionMismatch:
		return http.StatusConflict, res
	case store.LeaseNotFound:
		return http.StatusNotFound, res
	}
	return http.StatusOK, res
}

func leaseStatus(id uint64, ttl time.Duration, alive bool) (int, any) {
	if !alive {
		return http.StatusNotFound, platformapi.LeaseResponse{Lease: id}
	}
	return http.StatusOK, platformapi.LeaseResponse{Lease: id, TTLMillis: ttl.Milliseconds()}
}

func serveWeights(c *gin.Context) {
	model := c.Param("model")
	c.JSON(http.StatusOK, platformapi.Weights{Model: model, Digest: bundle.HashKey(model), Bytes: weightBytes})
}

func (p *Platform) serveRecord(c *gin.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.JSON(http.StatusOK, Record{Calls: p.calls})
}

// Run serves until ctx ends or the process gets SIGTERM or SIGINT.
func (p *Platform) Run(ctx context.Context, w io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.store.Run(ctx) })
	group.Go(func() error { return p.publishList(ctx) })
	group.Go(func() error {
		defer cancel()
		return p.Serve(ctx, "platform", p.cfg.Listen, w)
	})
	return group.Wait()
}

// publishList reads the list of instances from the store every listPeriod and
// publishes each copy ListLag after reading it.
func (p *Platform) publishList(ctx context.Context) error {
	var pending []platformapi.InstancesResponse
	for p.clock.Sleep(ctx, listPeriod) == nil {
		pending = append(pending, p.listInstances())
		if time.Duration(len(pending))*listPeriod > p.cfg.ListLag {
			p.list.Store(&pending[0])
			pending = pending[1:]
		}
	}
	return nil
}

func (p *Platform) listInstances() platformapi.InstancesResponse {
	res := platformapi.InstancesResponse{Instances: []platformapi.Instance{}}
	for _, e := range p.store.List(instancePrefix).Entries {
		row := platformapi.Instance{ID: strings.TrimPrefix(e.Key, instancePrefix)}
		if err := json.Unmarshal(e.Value, &row); err != nil {
			row.Address = fmt.Sprintf("unreadable: %v", err)
		}
		if row.State == "" {
			row.State = platformapi.Live
		}
		res.Instances = append(res.Instances, row)
	}
	return res
}
