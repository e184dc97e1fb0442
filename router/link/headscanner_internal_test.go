package link

import (
	"strings"
	"testing"

	"cicadawell.dev/fleet/answer/answertest"
	"github.com/matryer/is"
)

// soundHeads are heads whose lines end in the ways that HTTP allows.
var soundHeads = map[string]string{
	"fields":               "HTTP/1.1 200 OK\r\nA: b c\r\nX-!#$%&'*+.^_`|~9: \t:\r\nEmpty:\r\n\r\n",
	"no fields":            "HTTP/1.1 204 No Content\r\n\r\n",
	"lines without CR":     "HTTP/1.1 200 OK\nA: b\n\n",
	"only CR before an LF": "HTTP/1.1 200 OK\r\nA:\r\n\r\n",
}

// TestHeadIsCheckedInAnyPieces scans heads whole and in two pieces, with a body that looks like
// malformed fields.
func TestHeadIsCheckedInAnyPieces(t *testing.T) {
	malformed := map[string]string{
		"CR without LF at the end": "HTTP/1.1 200 OK\r\nA: b\r\n\rX: c\r\n\r\n",
		"no name":                  "HTTP/1.1 200 OK\r\n: b\r\n\r\n",
	}
	for name, text := range answertest.Hidden("A: b\r\n", "") {
		if strings.HasPrefix(text, "HTTP/1.1 200") {
			malformed[name] = text
		}
	}
	check := func(text string, want error) func(t *testing.T) {
		return func(t *testing.T) {
			is := is.New(t)
			for i := range len(text) + 1 {
				var s headScanner
				err := s.scan([]byte(text[:i]))
				if err == nil {
					err = s.scan([]byte(text[i:]))
				}
				is.Equal(err, want)
			}
		}
	}
	for name, text := range soundHeads {
		t.Run(name, check(text+" X Y : body\n\x00\n", nil))
	}
	for name, text := range malformed {
		t.Run(name, check(text, errMalformedHead))
	}
}
