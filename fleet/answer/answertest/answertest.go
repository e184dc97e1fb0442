// Package answertest has malformed answers for tests of what reads answers.
package answertest

import (
	"fmt"
	"io"
	"net/http"
)

// Malformed returns answers by what is wrong with them. They have the given fields, each a
// line with its end, and most of them the body, and would be whole successes otherwise.
func Malformed(fields, body string) map[string]string {
	return map[string]string{
		"status 000":                  whole("000 OK", fields, body),
		"status 000, no body":         whole("000 OK", fields, ""),
		"status 000, a second answer": whole("000 OK", fields, "") + whole("200 OK", fields, body),
		"status 099":                  whole("099 OK", fields, body),
	}
}

func whole(status, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

// Raw returns a handler that answers with raw bytes and leaves the connection open until the
// client closes it.
func Raw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, text)
		_, _ = io.Copy(io.Discard, c)
	}
}
