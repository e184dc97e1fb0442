package answer

import (
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

// CheckNames returns an error if the name of a field has a blank. Of the bytes that no name
// may have, net/http accepts blanks alone, and takes the field for another one than its
// sender meant. Fields that a trailer is to have, and doesn't, aren't checked.
func CheckNames(fields http.Header) error {
	for name, values := range fields {
		if len(values) > 0 && strings.Contains(name, " ") {
			return eris.Errorf("the name of the field %q has a blank", name)
		}
	}
	return nil
}
