// Package pipe connects servers and clients of tests in memory. Its connections have no
// buffers, and their deadlines follow the fake clock of a testing/synctest bubble.
package pipe

import (
	"net"
	"sync"
)

// Listener accepts the connections that Dial opens.
type Listener struct {
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Listen returns a new listener. In a bubble it belongs to that bubble.
func Listen() *Listener {
	return &Listener{accept: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial opens a connection and returns the client's side. It waits until the connection
// is accepted.
func (l *Listener) Dial() (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.accept <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case nc := <-l.accept:
		return nc, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept and Dial fail.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an address without meaning.
func (l *Listener) Addr() net.Addr { return address{} }

type address struct{}

func (address) Network() string { return "pipe" }

func (address) String() string { return "pipe" }
