package link

import (
	"bytes"
	"errors"

	"golang.org/x/net/http/httpguts"
)

var errMalformedHead = errors.New("the head of the answer has a malformed line")

// headScanner checks the lines of a head as they arrive. net/http accepts lines that it may
// read in another way than their sender meant: names with blanks, lines that continue the
// field before them, and an empty line without CR behind lines with it. The zero value is at
// the begin of a head.
type headScanner struct {
	at headPosition
	// cr is set if the last byte of the current line is CR, or of the line before if the
	// current one has not begun.
	cr bool
}

// headPosition is where the next byte belongs.
type headPosition int

const (
	// inLine is in the status line, or behind the colon of a field.
	inLine headPosition = iota
	atLineBegin
	inName
	// inEmptyLine is behind the CR of the line that ends the head.
	inEmptyLine
	behindHead
)

// scan checks the next bytes. What follows the head isn't checked.
func (s *headScanner) scan(data []byte) error {
	for len(data) > 0 && s.at != behindHead {
		n, ok := s.step(data)
		if !ok {
			return errMalformedHead
		}
		data = data[n:]
	}
	return nil
}

// step checks the bytes up to the next position and returns their number.
func (s *headScanner) step(data []byte) (n int, ok bool) {
	switch s.at {
	case inLine:
		return s.skipLine(data), true
	case atLineBegin:
		return s.beginLine(data[0])
	case inName:
		n = tokenBytes(data)
		if n == len(data) {
			return n, true
		}
		s.at, s.cr = inLine, false
		return n + 1, data[n] == ':'
	default:
		s.at = behindHead
		return 1, data[0] == '\n'
	}
}

func (s *headScanner) skipLine(data []byte) int {
	i := bytes.IndexByte(data, '\n')
	if i < 0 {
		s.cr = data[len(data)-1] == '\r'
		return len(data)
	}
	if i > 0 {
		s.cr = data[i-1] == '\r'
	}
	s.at = atLineBegin
	return i + 1
}

func (s *headScanner) beginLine(first byte) (n int, ok bool) {
	switch first {
	case '\r':
		s.at = inEmptyLine
		return 1, true
	case '\n':
		s.at = behindHead
		return 1, !s.cr
	default:
		s.at = inName
		return 0, tokenBytes([]byte{first}) > 0
	}
}

// tokenBytes returns how many bytes data begins with that a name may have.
func tokenBytes(data []byte) int {
	n := 0
	for n < len(data) && httpguts.IsTokenRune(rune(data[n])) {
		n++
	}
	return n
}
