package answer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"cicadawell.dev/fleet/answer"
	"cicadawell.dev/fleet/answer/answertest"
	"github.com/matryer/is"
)

// server answers the requests on all connections with raw bytes.
type server struct {
	url    string
	answer string
	mu     sync.Mutex
	// conns has the connections in order of arrival.
	conns []net.Conn
	// ended receives a value when the client has closed a connection.
	ended chan struct{}
}

// maxConns is more than the connections of any test.
const maxConns = 10

func serve(t *testing.T, text string) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &server{url: "http://" + l.Addr().String(), answer: text, ended: make(chan struct{}, maxConns)}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			group.Go(func() { s.serveConn(c) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		s.mu.Lock()
		for _, c := range s.conns {
			_ = c.Close()
		}
		s.mu.Unlock()
		group.Wait()
	})
	return s
}

func (s *server) serveConn(c net.Conn) {
	defer func() { s.ended <- struct{}{} }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, s.answer)
	}
}

func (s *server) connCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// TestMalformedAnswersFailAtOnce has servers keep the connection open behind the answer.
func TestMalformedAnswersFailAtOnce(t *testing.T) {
	for _, body := range []string{"", "done"} {
		for name, text := range answertest.Malformed("", body) {
			t.Run(name+" "+body, func(t *testing.T) {
				is := is.New(t)
				s := serve(t, text)
				c := http.Client{Transport: answer.NewTransport(&http.Transport{})}
				for range 2 {
					resp, err := c.Post(s.url, "text/plain", strings.NewReader("x"))
					if err == nil {
						_ = resp.Body.Close()
					}
					is.True(err != nil)
					<-s.ended
				}
				is.Equal(s.connCount(), 2) // the second call doesn't use the connection of the first one
			})
		}
	}
}

func TestSoundAnswersKeepTheirConnection(t *testing.T) {
	is := is.New(t)
	s := serve(t, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
	c := http.Client{Transport: answer.NewTransport(&http.Transport{})}
	for range 2 {
		resp, err := c.Post(s.url, "text/plain", strings.NewReader("x"))
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), "done")
		is.NoErr(resp.Body.Close())
	}
	is.Equal(s.connCount(), 1)
	c.CloseIdleConnections()
}

func TestEndlessInterimAnswersAreGivenUp(t *testing.T) {
	is := is.New(t)
	s := serve(t, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100))
	c := http.Client{Transport: answer.NewTransport(&http.Transport{}), Timeout: 20 * time.Second}
	resp, err := c.Get(s.url)
	if err == nil {
		_ = resp.Body.Close()
	}
	is.True(err != nil)
	is.True(!os.IsTimeout(err))
	<-s.ended
}
