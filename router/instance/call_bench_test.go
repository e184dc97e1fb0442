package instance_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"cicadawell.dev/router/instance"
)

// countingConn is a connection that counts the bytes read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkCall measures the time of one call to another instance over loopback
// and the bytes of its request and answer.
func BenchmarkCall(b *testing.B) {
	other := instance.New(instance.WithID("b"))
	other.Handle("double", double)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- other.Serve(l) }()
	bytes := new(atomic.Int64)
	a := instance.New(instance.WithID("a"), instance.WithDialer(func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		return countingConn{conn, bytes}, err
	}))
	a.SetAddresses(map[string]string{"b": l.Addr().String()})
	b.ReportAllocs()
	for b.Loop() {
		var out number
		if err := a.Call(b.Context(), "b", "double", number{N: 1}, &out); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/op")
	_, _ = a.Close(), other.Close()
	if err := <-done; err != nil {
		b.Fatal(err)
	}
}
