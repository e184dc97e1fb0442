// Package answertest has malformed answers for tests of what reads answers.
package answertest

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
)

// Malformed returns answers by what is wrong with them. They have the given fields, each a
// line with its end, and most of them the body, and would be whole successes otherwise.
func Malformed(fields, body string) map[string]string {
	return map[string]string{
		"status 000":                  whole("000 OK", fields, body),
		"status 000, no body":         whole("000 OK", fields, ""),
		"status 000, a second answer": whole("000 OK", fields, "") + whole("200 OK", fields, body),
		"status 099":                  whole("099 OK", fields, body),

		"blank within a name":                whole("200 OK", fields+"X Name: 1\r\n", body),
		"blank after a name":                 whole("200 OK", fields+"X-Name : 1\r\n", body),
		"blank after a name, no body":        whole("200 OK", fields+"X-Name : 1\r\n", ""),
		"blank in a name of an interim head": "HTTP/1.1 103 Early Hints\r\nX Name: 1\r\n\r\n" + whole("200 OK", fields, body),
		"blank after the name of the length": strings.Replace(whole("200 OK", fields, body), "Length:", "Length :", 1),
		"blank after the name of the coding": chunked(fields, "Transfer-Encoding : chunked", body, ""),
		"control byte in a name":             whole("200 OK", fields+"X-\x01Name: 1\r\n", body),
		"control byte before a name":         whole("200 OK", fields+"\x7fX-Name: 1\r\n", body),
		"tab in a name":                      whole("200 OK", fields+"X-Name\t: 1\r\n", body),
		"no name":                            whole("200 OK", fields+": 1\r\n", body),
	}
}

// Hidden is like Malformed, with answers of which net/http doesn't show to its callers what
// is wrong.
func Hidden(fields, body string) map[string]string {
	const interim = "HTTP/1.1 103 Early Hints\r\nX: 1\r\n"
	return map[string]string{
		"blank before a name":                 whole("200 OK", fields+" X-Name: 1\r\n", body),
		"tab before a name":                   whole("200 OK", fields+"\tX-Name: 1\r\n", body),
		"line feed before a name":             whole("200 OK", fields+"\nX-Name: 1\r\n", body),
		"blank before the name of the length": strings.Replace(whole("200 OK", fields, body), "Content-Length", " Content-Length", 1),
		"blank before the name of the coding": chunked(fields, " Transfer-Encoding: chunked", body, ""),
		"line feed in an interim head":        interim + "\nX-Name: 1\r\n\r\n" + whole("200 OK", fields, body),
		"blank after an interim head":         interim + "\r\n" + whole("200 OK", fields+" X-Name: 1\r\n", body),
	}
}

// WithTrailer is like Malformed, with answers whose trailers are malformed.
func WithTrailer(fields, body string) map[string]string {
	return map[string]string{
		"blank in a name of a trailer":        chunked(fields, "Transfer-Encoding: chunked", body, "X Name: 1\r\n"),
		"control byte in a name of a trailer": chunked(fields, "Transfer-Encoding: chunked", body, "X-\x01Name: 1\r\n"),
	}
}

// Merge returns the answers of all maps.
func Merge(all ...map[string]string) map[string]string {
	out := make(map[string]string)
	for _, m := range all {
		maps.Copy(out, m)
	}
	return out
}

func whole(status, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

func chunked(fields, coding, body, trailer string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%s\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n", fields, coding, len(body), body, trailer)
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
