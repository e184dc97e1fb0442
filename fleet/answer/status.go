// Package answer rejects HTTP answers that net/http accepts although they are malformed.
package answer

import "github.com/rotisserie/eris"

// minStatus is the lowest status code that HTTP defines.
const minStatus = 100

// CheckStatus returns an error for a status code that no answer can have. A server that
// sends one has failed while it answered.
func CheckStatus(code int) error {
	if code < minStatus {
		return eris.Errorf("status code %03d is no status", code)
	}
	return nil
}
