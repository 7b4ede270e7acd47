// Package status checks that what arrives in place of an HTTP answer has a status line of HTTP/1.0 or HTTP/1.1 with a status
// that may stand there, and fields with valid names. Parsers take signs, other versions, numbers such as 000 or 999 and names
// with blanks, and clients skip heads below 200.
package status
