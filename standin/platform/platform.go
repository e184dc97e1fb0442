// Package platform stands in for the platform's services: the key-value
// service, the list of instances, which lags, and the rate-limited weight
// store.
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
	// instancePrefix is where instances register themselves.
	instancePrefix = "instances/"
	// listPeriod is how often the list of instances is taken from the store.
	listPeriod = 50 * time.Millisecond
	// maxBodyBytes bounds a call; values travel in base64.
	maxBodyBytes = 2 * platformapi.MaxValueBytes
	// weightBytes is the size of every model in the weight store.
	weightBytes = 1 << 30
)

// Config is what the platform's services can do.
type Config struct {
	Listen string
	// ListLag is how old the list of instances is when it is shown.
	ListLag time.Duration
	// ReadsPerSecond and WritesPerSecond limit the key-value service,
	// WeightsPerSecond the weight store; zero means no limit.
	ReadsPerSecond, WritesPerSecond, WeightsPerSecond float64
}

// Record counts the calls to the key-value service by path. A waiting watch is
// one call.
type Record struct {
	Calls map[string]int64 `json:"calls"`
}

// Platform serves the services.
type Platform struct {
	*endpoint.Endpoint
	cfg     Config
	clock   clock.Clock
	store   *store.Store
	reads   *bucket
	writes  *bucket
	weights *bucket
	// loseWrites is how many writes still lose their answers.
	loseWrites atomic.Int64
	// list is what the list of instances shows.
	list atomic.Pointer[platformapi.InstancesResponse]

	mu    sync.Mutex
	calls map[string]int64
}

// New returns the platform with its routes set.
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
	p.OnFaults(func(f endpoint.Faults) { p.loseWrites.Store(f.LoseWrites) })
	p.routes()
	return p
}

func (p *Platform) routes() {
	read := func(path string, h gin.HandlerFunc) { p.POST(path, p.limit(p.reads), h) }
	write := func(path string, h gin.HandlerFunc) { p.POST(path, p.limit(p.writes), h) }
	read(platformapi.PathGet, handle(func(_ *gin.Context, req platformapi.GetRequest) (int, any) {
		return http.StatusOK, p.store.Get(req.Key)
	}))
	read(platformapi.PathList, handle(func(_ *gin.Context, req platformapi.ListRequest) (int, any) {
		return http.StatusOK, p.store.List(req.Prefix)
	}))
	read(platformapi.PathWatch, handle(func(c *gin.Context, req platformapi.WatchRequest) (int, any) {
		ctx, cancel := p.UntilStop(c.Request.Context())
		defer cancel()
		return http.StatusOK, p.store.Watch(ctx, req)
	}))
	write(platformapi.PathPut, handleWrite(p, p.put))
	write(platformapi.PathDelete, handleWrite(p, func(req platformapi.DeleteRequest) (int, any) {
		return written(p.store.Delete(req))
	}))
	write(platformapi.PathGrant, handleWrite(p, func(req platformapi.GrantRequest) (int, any) {
		id := p.store.Grant(time.Duration(req.TTLMillis) * time.Millisecond)
		return http.StatusOK, platformapi.LeaseResponse{Lease: id, TTLMillis: req.TTLMillis}
	}))
	write(platformapi.PathKeepAlive, handleWrite(p, func(req platformapi.LeaseRequest) (int, any) {
		ttl, alive := p.store.KeepAlive(req.Lease)
		return leased(req.Lease, ttl, alive)
	}))
	write(platformapi.PathRevoke, handleWrite(p, func(req platformapi.LeaseRequest) (int, any) {
		return leased(req.Lease, 0, p.store.Revoke(req.Lease))
	}))
	p.GET(platformapi.PathInstances, func(c *gin.Context) { c.JSON(http.StatusOK, p.list.Load()) })
	p.GET(platformapi.PathWeights+":model", p.limit(p.weights), serveWeights)
	p.GET(endpoint.PathRecord, p.serveRecord)
}

// limit counts the call and refuses it while b is empty.
func (p *Platform) limit(b *bucket) gin.HandlerFunc {
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

// handle decodes the body and answers with what f returns.
func handle[T any](f func(*gin.Context, T) (int, any)) gin.HandlerFunc {
	return func(c *gin.Context) {
		c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes)
		req, ok := endpoint.Bind[T](c)
		if !ok {
			return
		}
		if status, res := f(c, req); !c.IsAborted() {
			c.JSON(status, res)
		}
	}
}

// handleWrite is handle for a write, whose answer may be lost.
func handleWrite[T any](p *Platform, f func(T) (int, any)) gin.HandlerFunc {
	return handle(func(c *gin.Context, req T) (int, any) {
		status, res := f(req)
		if status == http.StatusOK && p.loseWrites.Add(-1) >= 0 {
			endpoint.Drop(c)
		}
		return status, res
	})
}

func (p *Platform) put(req platformapi.PutRequest) (int, any) {
	if len(req.Value) > platformapi.MaxValueBytes {
		return http.StatusRequestEntityTooLarge, platformapi.WriteResponse{}
	}
	return written(p.store.Put(req))
}

func written(res platformapi.WriteResponse, v store.Verdict) (int, any) {
	switch v {
	case store.Differs:
		return http.StatusConflict, res
	case store.LeaseEnded:
		return http.StatusNotFound, res
	}
	return http.StatusOK, res
}

func leased(id uint64, ttl time.Duration, alive bool) (int, any) {
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

// Run serves until ctx ends or the process is told to stop.
func (p *Platform) Run(ctx context.Context, w io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.store.Run(ctx) })
	group.Go(func() error { return p.showList(ctx) })
	group.Go(func() error {
		defer cancel()
		return p.Serve(ctx, "platform", p.cfg.Listen, w)
	})
	return group.Wait()
}

// showList takes the list from the store and shows it when its lag has passed.
func (p *Platform) showList(ctx context.Context) error {
	var pending []platformapi.InstancesResponse
	for p.clock.Sleep(ctx, listPeriod) == nil {
		pending = append(pending, p.instances())
		if time.Duration(len(pending))*listPeriod > p.cfg.ListLag {
			p.list.Store(&pending[0])
			pending = pending[1:]
		}
	}
	return nil
}

func (p *Platform) instances() platformapi.InstancesResponse {
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
