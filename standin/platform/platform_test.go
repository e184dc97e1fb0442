package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/platformapi"
	"cicadawell.dev/standin/endpoint"
	"cicadawell.dev/standin/platform"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// start starts a platform and returns its base URL.
func start(t *testing.T, cfg platform.Config) string {
	t.Helper()
	cfg.Listen = "127.0.0.1:0"
	ctx, cancel := context.WithCancel(context.Background())
	pr, pw := io.Pipe()
	var group errgroup.Group
	group.Go(func() error { return platform.New(cfg, clock.System()).Run(ctx, pw) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	var ready endpoint.Ready
	if err := json.NewDecoder(pr).Decode(&ready); err != nil {
		t.Fatal(err)
	}
	return "http://" + ready.Address
}

// post sends body and decodes the answer into res, which may be nil.
func post(ctx context.Context, client *http.Client, url string, body, res any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	answer, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	if res == nil {
		return answer.StatusCode, nil
	}
	return answer.StatusCode, json.NewDecoder(answer.Body).Decode(res)
}

func TestWriteWithLostAnswerTakesEffect(t *testing.T) {
	is := is.New(t)
	base := start(t, platform.Config{})
	client := &http.Client{Transport: &http.Transport{}}
	_, err := post(t.Context(), client, base+endpoint.PathFaults, endpoint.Faults{LoseWrites: 1}, nil)
	is.NoErr(err)
	_, err = post(t.Context(), client, base+platformapi.PathPut, platformapi.PutRequest{Key: "k"}, nil)
	is.True(err != nil) // the answer is lost
	var got platformapi.GetResponse
	_, err = post(t.Context(), client, base+platformapi.PathGet, platformapi.GetRequest{Key: "k"}, &got)
	is.NoErr(err)
	is.True(got.Entry != nil)
	status, err := post(t.Context(), client, base+platformapi.PathPut, platformapi.PutRequest{Key: "l"}, nil)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
}

func TestOpenConnectionGoesSilentWhileNewOnesWork(t *testing.T) {
	is := is.New(t)
	base := start(t, platform.Config{})
	open := &http.Client{Transport: &http.Transport{}}
	get := platformapi.GetRequest{Key: "k"}
	_, err := post(t.Context(), open, base+platformapi.PathGet, get, &platformapi.GetResponse{})
	is.NoErr(err)
	control := &http.Client{Transport: &http.Transport{}}
	_, err = post(t.Context(), control, base+endpoint.PathFaults, endpoint.Faults{Silence: true}, nil)
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = post(ctx, open, base+platformapi.PathGet, get, nil)
	is.True(err != nil) // neither closed nor answered
	is.True(ctx.Err() != nil)
	status, err := post(t.Context(), open, base+platformapi.PathGet, get, nil)
	is.NoErr(err) // on a new connection
	is.Equal(status, http.StatusOK)
}

func TestRatesAreLimitedAndCallsCounted(t *testing.T) {
	is := is.New(t)
	base := start(t, platform.Config{WritesPerSecond: 1})
	client := &http.Client{Transport: &http.Transport{}}
	for _, want := range []int{http.StatusOK, http.StatusTooManyRequests} {
		status, err := post(t.Context(), client, base+platformapi.PathPut, platformapi.PutRequest{Key: "k"}, nil)
		is.NoErr(err)
		is.Equal(status, want)
	}
	answer, err := client.Get(base + endpoint.PathRecord)
	is.NoErr(err)
	defer answer.Body.Close()
	var rec platform.Record
	is.NoErr(json.NewDecoder(answer.Body).Decode(&rec))
	is.Equal(rec.Calls[platformapi.PathPut], int64(2))
}

func TestWaitingWatchSeesTheNextWrite(t *testing.T) {
	is := is.New(t)
	base := start(t, platform.Config{})
	client := &http.Client{Transport: &http.Transport{}}
	var res platformapi.WatchResponse
	var group errgroup.Group
	group.Go(func() error {
		watch := platformapi.WatchRequest{Prefix: "k", After: 1, WaitMillis: 60_000}
		_, err := post(t.Context(), client, base+platformapi.PathWatch, watch, &res)
		return err
	})
	_, err := post(t.Context(), client, base+platformapi.PathPut, platformapi.PutRequest{Key: "k"}, nil)
	is.NoErr(err)
	is.NoErr(group.Wait())
	is.Equal(len(res.Events), 1)
}
