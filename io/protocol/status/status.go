package status

import (
	"fmt"
	"net/http"
)

// LineBytes is the number of bytes by which a status line is judged: version, space, three digits, and the byte after them.
const LineBytes = len("HTTP/1.1 200 ")

// LineError reports bytes that cannot begin an answer.
type LineError struct{ start string }

// Error returns the bytes.
func (lie *LineError) Error() string {
	return fmt.Sprintf("the bytes %q do not begin an HTTP/1.1 answer with a status from 100 to 599 other than 101", lie.start)
}

// CheckLine returns an error when a status line cannot begin with the given bytes, of which at most LineBytes are judged. A
// switch of protocols (101) is an error because no request of this system asks for one. RFC 9110, section 15, calls statuses
// of 600 and above invalid.
func CheckLine(start []byte) error {
	for idx, char := range start[:min(len(start), LineBytes)] {
		if !validAt(idx, char) {
			return &LineError{string(start[:idx+1])}
		}
	}
	if len(start) >= LineBytes && string(start[LineBytes-4:LineBytes-1]) == "101" {
		return &LineError{string(start[:LineBytes])}
	}
	return nil
}

// validAt reports whether a byte may stand at an index of a status line.
func validAt(idx int, char byte) bool {
	const version = "HTTP/1."
	switch {
	case idx < len(version):
		return char == version[idx]
	case idx == len(version): // minor version
		return char == '0' || char == '1'
	case idx == len("HTTP/1.1"):
		return char == ' '
	case idx == len("HTTP/1.1 "):
		return '1' <= char && char <= '5'
	case idx < len("HTTP/1.1 200"):
		return '0' <= char && char <= '9'
	}
	return char == ' ' || char == '\r' || char == '\n' // some servers omit the space when there is no reason phrase
}

// HasContent reports whether the head of an answer without content, such as an interim one, announces content all the same.
// The bytes that follow cannot be told from a next answer.
func HasContent(rsp *http.Response) bool {
	length := rsp.Header.Get("Content-Length")
	return length != "" && length != "0" || len(rsp.TransferEncoding) > 0
}
