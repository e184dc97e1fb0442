package link

import (
	"bytes"
	"errors"

	"golang.org/x/net/http/httpguts"
)

var errMalformedHead = errors.New("the head of the answer has a malformed line")

// headScanner checks the lines of a head as they arrive. net/http accepts lines that it may
// read in another way than their sender meant: names with blanks, lines that continue the
// field before them, and an empty line that ends in LF after lines that end in CR LF. The
// zero value is at the start of a head.
type headScanner struct {
	at headPosition
	// cr is set if the last byte of the current line is CR. At the start of a line it is set
	// if the previous line ended in CR LF.
	cr bool
}

// headPosition is where the next byte belongs.
type headPosition int

const (
	// inLine is in the status line, or after the colon of a field.
	inLine headPosition = iota
	atLineStart
	inName
	// inEmptyLine is after the CR of the line that ends the head.
	inEmptyLine
	afterHead
)

// scan checks the next bytes. What follows the head isn't checked.
func (s *headScanner) scan(data []byte) error {
	for len(data) > 0 && s.at != afterHead {
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
	case atLineStart:
		return s.startLine(data[0])
	case inName:
		n = tokenBytes(data)
		if n == len(data) {
			return n, true
		}
		s.at, s.cr = inLine, false
		return n + 1, data[n] == ':'
	default:
		s.at = afterHead
		return 1, data[0] == '\n'
	}
}

// skipLine skips the rest of a line, or as much of it as has arrived.
func (s *headScanner) skipLine(data []byte) int {
	i := bytes.IndexByte(data, '\n')
	if i < 0 {
		s.cr = data[len(data)-1] == '\r'
		return len(data)
	}
	if i > 0 {
		s.cr = data[i-1] == '\r'
	}
	s.at = atLineStart
	return i + 1
}

// startLine checks the first byte of a line. It leaves that of a name to the next step.
func (s *headScanner) startLine(first byte) (n int, ok bool) {
	switch first {
	case '\r':
		s.at = inEmptyLine
		return 1, true
	case '\n':
		s.at = afterHead
		return 1, !s.cr
	default:
		s.at = inName
		return 0, httpguts.IsTokenRune(rune(first))
	}
}

// tokenBytes returns the number of bytes at the start of data that a name may have.
func tokenBytes(data []byte) int {
	n := 0
	for n < len(data) && httpguts.IsTokenRune(rune(data[n])) {
		n++
	}
	return n
}
