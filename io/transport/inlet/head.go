package inlet

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"
)

// maxLengthDigits keeps a Content-Length within an int64; net/http parses longer ones.
const maxLengthDigits = 18

// headScan looks for the end of a head in bytes that may arrive in parts.
type headScan struct {
	pos    int // of the last line feed that was seen, from which the search goes on
	framed int // lines that may say how long the body is
	length int // position of the value of the last Content-Length line
}

// end returns the length of the head at the start of data, or 0 while it is incomplete. It ends a head where net/http does:
// at an empty line, whose line feed may have a carriage return before it.
func (hsc *headScan) end(data []byte) int {
	for {
		next := bytes.IndexByte(data[hsc.pos:], '\n')
		if next < 0 {
			return 0
		}
		pos := hsc.pos + next
		line := data[pos+1:]
		if len(line) < len("transfer-encoding") {
			switch {
			case len(line) > 0 && line[0] == '\n':
				return pos + 2
			case len(line) > 1 && line[0] == '\r' && line[1] == '\n':
				return pos + 3
			}
			if len(line) > 0 && line[0] != '\r' && bytes.IndexByte(line, '\n') > 0 {
				hsc.see(line, pos+1)
				hsc.pos = pos + 1
				continue
			}
			hsc.pos = pos
			return 0
		}
		switch {
		case line[0] == '\n':
			return pos + 2
		case line[0] == '\r' && line[1] == '\n':
			return pos + 3
		}
		hsc.see(line, pos+1)
		hsc.pos = pos + 1
	}
}

// see notes a line that may say how long the body is.
func (hsc *headScan) see(line []byte, pos int) {
	switch line[0] {
	case 'c', 'C':
		if name := "content-length"; hasPrefixFold(line, name) {
			hsc.framed++
			hsc.length = pos + len(name)
		}
	case 't', 'T':
		if hasPrefixFold(line, "transfer-encoding") {
			hsc.framed++
			hsc.length = 0
		}
	}
}

func hasPrefixFold(line []byte, prefix string) bool {
	return len(line) >= len(prefix) && bytes.EqualFold(line[:len(prefix)], []byte(prefix))
}

// bodyLength returns the length of the body of a complete head as net/http will determine it, or -1 for a chunked body. It
// reports false if net/http refuses the head.
func (hsc *headScan) bodyLength(head []byte) (int64, bool) {
	if hsc.framed == 0 {
		return 0, true
	}
	if hsc.framed == 1 && hsc.length > 0 {
		if length, ok := plainLength(head[hsc.length:]); ok {
			return length, true
		}
	}
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return 0, false
	}
	return req.ContentLength, true
}

// plainLength parses the rest of a Content-Length line in its usual form, ": DIGITS", that no line continues.
func plainLength(rest []byte) (int64, bool) {
	if rest[0] != ':' {
		return 0, false
	}
	value, next, _ := bytes.Cut(rest[1:], []byte{'\n'})
	if len(next) == 0 || next[0] == ' ' || next[0] == '\t' {
		return 0, false
	}
	value = bytes.Trim(bytes.TrimSuffix(value, []byte{'\r'}), " \t")
	if len(value) == 0 || len(value) > maxLengthDigits || value[0] < '0' || value[0] > '9' {
		return 0, false
	}
	length, err := strconv.ParseInt(string(value), 10, 64)
	return length, err == nil
}
