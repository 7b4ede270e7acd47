package status

import (
	"bytes"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// FieldNameError reports a line in the head of an answer that does not begin with the name of a field and a colon.
type FieldNameError struct{ char byte }

// Error returns the byte that cannot stand where it does.
func (fne *FieldNameError) Error() string {
	return fmt.Sprintf("the head of the answer has a line without a valid field name: unexpected %q", fne.char)
}

// Head checks the names of the fields in the head of one answer, whose bytes may arrive in parts. Its zero value expects the
// status line. The parser of net/http keeps a name with a blank in it, and appends a line that begins with a blank to the line
// before it: a field that tells the length of the body is lost either way. RFC 9112, section 5, forbids senders both.
type Head struct {
	part headPart
	err  error
}

// headPart is what the next byte of a head belongs to.
type headPart uint8

const (
	partStatusLine headPart = iota
	partLineStart           // the first byte of a field line, or of the empty line that ends the head
	partName
	partValue
	partEmptyLine // the empty line, after its carriage return
	partEnded
)

// Check judges further bytes; those after the head are ignored. After an error it returns the same one again.
func (hea *Head) Check(data []byte) error {
	for len(data) > 0 && hea.part != partEnded && hea.err == nil {
		if hea.part == partStatusLine || hea.part == partValue {
			end := bytes.IndexByte(data, '\n')
			if end < 0 {
				return nil
			}
			hea.part, data = partLineStart, data[end+1:]
			continue
		}
		hea.step(data[0])
		data = data[1:]
	}
	return hea.err
}

// Ended reports whether the whole head was judged.
func (hea *Head) Ended() bool { return hea.part == partEnded }

// step judges a byte outside the status line and the values.
func (hea *Head) step(char byte) {
	switch {
	case char == '\n' && hea.part != partName:
		hea.part = partEnded
	case char == '\r' && hea.part == partLineStart:
		hea.part = partEmptyLine
	case char == ':' && hea.part == partName:
		hea.part = partValue
	case httpguts.IsTokenRune(rune(char)) && hea.part != partEmptyLine:
		hea.part = partName
	default:
		hea.err = &FieldNameError{char}
	}
}
