package operator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
	"cicadawell.dev/router/operator"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// fakeBundles records writes and sign-offs, returns a conflict from Roll and
// panics in Cancel.
type fakeBundles struct {
	operator.Bundles
	calls []string
}

func (b *fakeBundles) Status(context.Context) (operatorapi.BundleStatus, error) {
	return operatorapi.BundleStatus{InForce: 4}, nil
}

func (b *fakeBundles) Write(_ context.Context, by string, _ operatorapi.WriteRequest) (operatorapi.Version, error) {
	b.calls = append(b.calls, "write by "+by)
	return operatorapi.Version{Version: 5}, nil
}

func (b *fakeBundles) Sign(_ context.Context, by string, v uint64, s operatorapi.StepRequest) (operatorapi.Version, error) {
	b.calls = append(b.calls, fmt.Sprint("sign ", v, " by ", by))
	return operatorapi.Version{Version: v}, nil
}

func (b *fakeBundles) Roll(context.Context, string, uint64, operatorapi.StepRequest) (operatorapi.Version, error) {
	return operatorapi.Version{}, &conflictError{fault.New(fault.Conflict, "ben is rolling version 6")}
}

func (b *fakeBundles) Cancel(context.Context, string, uint64, operatorapi.StepRequest) (operatorapi.Version, error) {
	panic("defect")
}

type conflictError struct{ cause error }

func (c *conflictError) Error() string { return c.cause.Error() }

func (c *conflictError) Unwrap() error { return c.cause }

func (c *conflictError) AddCurrentState(r *operatorapi.ErrorResponse) {
	r.Bundle = &operatorapi.BundleStatus{Rolling: 6}
}

func newHandler() (http.Handler, *fakeBundles) {
	b := &fakeBundles{}
	operators := []operator.Operator{
		{Name: "ann", KeyHash: bundle.HashKey("ann-key"), MayWrite: true},
		{Name: "carol", KeyHash: strings.ToUpper(bundle.HashKey("carol-key")), MayApprove: true},
	}
	return operator.NewHandler(operators, operator.Services{Bundles: b}, hclog.NewNullLogger()), b
}

func call(h http.Handler, method, path, key, body string) (int, operatorapi.ErrorResponse) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	var response operatorapi.ErrorResponse
	_ = json.Unmarshal(w.Body.Bytes(), &response)
	return w.Code, response
}

func TestCalls(t *testing.T) {
	id := uuid.Must(uuid.NewV7()).String()
	stepBody := `{"step":"` + id + `","digest":"d","seen":4}`
	writeBody := `{"write":"` + id + `","bundle":{}}`
	big := `{"write":"` + strings.Repeat("x", operatorapi.MaxBodyBytes) + `"}`
	huge := `{"write":"` + strings.Repeat("x", operatorapi.MaxBundleBytes) + `"}`
	for _, c := range []struct {
		name, method, path, key, body string
		status                        int
		field                         string
	}{
		{"no key", "GET", "/v1/bundle", "", "", 401, "Authorization"},
		{"unknown key", "GET", "/v1/bundle", "ann", "", 401, "Authorization"},
		{"a hash is no key", "GET", "/v1/bundle", bundle.HashKey("ann-key"), "", 401, "Authorization"},
		{"read", "GET", "/v1/bundle", "carol-key", "", 200, ""},
		{"write", "POST", "/v1/bundle/drafts", "ann-key", writeBody, 200, ""},
		{"approver does not write", "POST", "/v1/bundle/drafts", "carol-key", writeBody, 403, ""},
		{"sign", "POST", "/v1/bundle/versions/5/sign", "carol-key", stepBody, 200, ""},
		{"writer does not sign", "POST", "/v1/bundle/versions/5/sign", "ann-key", stepBody, 403, ""},
		{"no version", "POST", "/v1/bundle/versions/-1/sign", "carol-key", stepBody, 400, "version"},
		{"no uuid", "POST", "/v1/bundle/versions/5/sign", "carol-key", `{"step":"1"}`, 400, "step"},
		{"unknown field", "POST", "/v1/bundle/versions/5/sign", "carol-key", `{"stop":"1"}`, 400, "body"},
		{"two values", "POST", "/v1/bundle/versions/5/sign", "carol-key", stepBody + "{}", 400, "body"},
		{"cut body", "POST", "/v1/bundle/versions/5/sign", "carol-key", stepBody[:20], 400, "body"},
		{"large step", "POST", "/v1/bundle/versions/5/sign", "carol-key", big, 413, "body"},
		{"large bundle", "POST", "/v1/bundle/drafts", "ann-key", huge, 413, "body"},
		{"no such path", "GET", "/v1/nothing", "ann-key", "", 404, ""},
		{"panic", "POST", "/v1/bundle/versions/5/cancel", "ann-key", stepBody, 500, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h, _ := newHandler()
			status, response := call(h, c.method, c.path, c.key, c.body)
			is.Equal(status, c.status)
			is.Equal(response.Error.Field, c.field)
		})
	}
}

func TestConflictResponseHasTheCurrentState(t *testing.T) {
	is := is.New(t)
	h, _ := newHandler()
	body := `{"step":"` + uuid.Must(uuid.NewV7()).String() + `"}`
	status, response := call(h, "POST", "/v1/bundle/versions/5/roll", "ann-key", body)
	is.Equal(status, http.StatusConflict)
	is.Equal(response.Error.Detail, "ben is rolling version 6")
	is.Equal(response.Bundle.Rolling, uint64(6))
}

func TestServerBoundsHeaders(t *testing.T) {
	is := is.New(t)
	s := operator.New(nil, operator.Services{}, hclog.NewNullLogger())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	req, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+operatorapi.PathBundle, nil)
	is.NoErr(err)
	req.Header.Set("X-Long", strings.Repeat("x", 2*operatorapi.MaxHeaderBytes))
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	is.NoErr(s.Close())
	is.Equal(<-done, http.ErrServerClosed)
}
