package client_test

import (
	"errors"
	"net/http/httptest"
	"testing"

	"cicadawell.dev/ctl/client"
	"cicadawell.dev/fleet/answer/answertest"
	"github.com/matryer/is"
)

func TestMalformedAnswersMayHaveHadAnEffect(t *testing.T) {
	for name, text := range answertest.Malformed("", `{}`) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(answertest.Raw(text))
			defer server.Close()
			c := client.New([]string{server.URL}, "key")
			var response struct{}
			var unreachable *client.UnreachableError
			is.True(errors.As(c.Post(t.Context(), "/", struct{}{}, &response), &unreachable))
			is.True(unreachable.Sent)
			is.True(errors.Is(c.Get(t.Context(), "/", &response), client.ErrUnreachable))
		})
	}
}
