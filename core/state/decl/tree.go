package decl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"time"
)

const (
	maxDocumentBytes = 1 << 20 // the platform holds values up to 1 MB
	maxNesting       = 16
)

// ValidationError names the place of a fault in a document and its remedy.
type ValidationError struct {
	line   int
	field  string
	detail string
	remedy string
}

// Line returns the line of the fault, counted from 1.
func (fau *ValidationError) Line() int { return fau.line }

// Field returns the path of the faulty field.
func (fau *ValidationError) Field() string { return fau.field }

// Error returns the line, the field, the fault and the remedy.
func (fau *ValidationError) Error() string {
	return fmt.Sprintf("line %d: %s: %s; %s", fau.line, fau.field, fau.detail, fau.remedy)
}

// node is a JSON value with its place, so that faults found after decoding still name a line.
type node struct {
	line   int
	path   string
	scalar any
	list   []*node
	fields map[string]*node
	names  []string
}

// reader walks a document and collects faults.
type reader struct {
	data   []byte
	dec    *json.Decoder
	faults []error
	offset int64
	line   int
}

func (rea *reader) lineHere() int {
	off := min(rea.dec.InputOffset(), int64(len(rea.data)))
	rea.line += bytes.Count(rea.data[rea.offset:off], []byte{'\n'})
	rea.offset = off
	return rea.line
}

func (rea *reader) fault(line int, field, detail, remedy string) {
	rea.faults = append(rea.faults, &ValidationError{line: line, field: field, detail: detail, remedy: remedy})
}

func (rea *reader) faultAt(nod *node, detail, remedy string) {
	rea.fault(nod.line, nod.path, detail, remedy)
}

// parse builds the tree of a whole document.
func parse(data []byte) (*reader, *node, error) {
	rea := &reader{data: data, dec: json.NewDecoder(bytes.NewReader(data)), line: 1}
	if len(data) > maxDocumentBytes {
		return nil, nil, &ValidationError{
			line: 1, field: "document", detail: fmt.Sprintf("has %d bytes", len(data)),
			remedy: fmt.Sprintf("publish at most %d bytes", maxDocumentBytes),
		}
	}
	rea.dec.UseNumber()
	root, err := rea.value("", 0)
	if err != nil {
		return nil, nil, rea.syntaxFault(err)
	}
	if _, err := rea.dec.Token(); !errors.Is(err, io.EOF) {
		rea.fault(rea.lineHere(), "document", "has text after its end", "remove it")
	}
	return rea, root, nil
}

func (rea *reader) syntaxFault(err error) error {
	var fau *ValidationError
	if errors.As(err, &fau) {
		return err
	}
	line := rea.lineHere()
	var syn *json.SyntaxError
	if errors.As(err, &syn) {
		line = 1 + bytes.Count(rea.data[:min(syn.Offset, int64(len(rea.data)))], []byte{'\n'})
	}
	return &ValidationError{line: line, field: "document", detail: err.Error(), remedy: "correct the JSON syntax"}
}

func (rea *reader) value(path string, depth int) (*node, error) {
	tok, err := rea.dec.Token()
	if err != nil {
		return nil, err
	}
	nod := &node{line: rea.lineHere(), path: path}
	if depth > maxNesting {
		return nil, &ValidationError{line: nod.line, field: path, detail: "is nested too deep", remedy: "follow the documented schema"}
	}
	switch tok {
	case json.Delim('{'):
		return nod, rea.object(nod, depth)
	case json.Delim('['):
		return nod, rea.array(nod, depth)
	}
	nod.scalar = tok
	return nod, nil
}

func (rea *reader) object(nod *node, depth int) error {
	nod.fields = map[string]*node{}
	for rea.dec.More() {
		tok, err := rea.dec.Token()
		if err != nil {
			return err
		}
		name, _ := tok.(string)
		path := name
		if nod.path != "" {
			path = nod.path + "." + name
		}
		child, err := rea.value(path, depth+1)
		if err != nil {
			return err
		}
		if _, ok := nod.fields[name]; ok {
			rea.faultAt(child, "is given twice", "keep one")
			continue
		}
		nod.fields[name] = child
		nod.names = append(nod.names, name)
	}
	_, err := rea.dec.Token()
	return err
}

func (rea *reader) array(nod *node, depth int) error {
	nod.list = []*node{}
	for rea.dec.More() {
		child, err := rea.value(nod.path+"["+strconv.Itoa(len(nod.list))+"]", depth+1)
		if err != nil {
			return err
		}
		nod.list = append(nod.list, child)
	}
	_, err := rea.dec.Token()
	return err
}

// known reports fields of an object that the schema does not have.
func (rea *reader) known(nod *node, names ...string) bool {
	if nod.fields == nil {
		rea.faultAt(nod, "is not an object", "write it in braces")
		return false
	}
	for _, name := range nod.names {
		if !contains(names, name) {
			rea.faultAt(nod.fields[name], "is not a known field", fmt.Sprintf("use one of %q", names))
		}
	}
	return true
}

func contains(names []string, name string) bool {
	for _, known := range names {
		if known == name {
			return true
		}
	}
	return false
}

// get returns a required field.
func (rea *reader) get(nod *node, name string) *node {
	child := nod.fields[name]
	if child == nil {
		rea.fault(nod.line, join(nod.path, name), "is missing", "add it")
	}
	return child
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (rea *reader) items(nod *node, name string) []*node {
	child := rea.get(nod, name)
	if child == nil {
		return nil
	}
	if child.list == nil {
		rea.faultAt(child, "is not a list", "write it in brackets")
	}
	return child.list
}

func (rea *reader) text(nod *node, name string) string {
	child := rea.get(nod, name)
	if child == nil {
		return ""
	}
	val, ok := child.scalar.(string)
	if !ok || val == "" {
		rea.faultAt(child, "is not a text", "give a non-empty string")
	}
	return val
}

// choice reads a text that must be one of a few words.
func (rea *reader) choice(nod *node, name string, words ...string) string {
	val := rea.text(nod, name)
	if val != "" && !contains(words, val) {
		rea.faultAt(nod.fields[name], fmt.Sprintf("is %q", val), fmt.Sprintf("use one of %q", words))
	}
	return val
}

func (rea *reader) flag(nod *node, name string) bool {
	child := nod.fields[name]
	if child == nil {
		return false
	}
	val, ok := child.scalar.(bool)
	if !ok {
		rea.faultAt(child, "is not a truth value", "give true or false")
	}
	return val
}

func (rea *reader) number(nod *node, name string) float64 {
	child := rea.get(nod, name)
	if child == nil {
		return 0
	}
	num, _ := child.scalar.(json.Number)
	val, err := num.Float64()
	if err != nil || math.IsInf(val, 0) {
		rea.faultAt(child, "is not a number", "give a number")
		return 0
	}
	return val
}

// positive reads a number above zero.
func (rea *reader) positive(nod *node, name string) float64 {
	val := rea.number(nod, name)
	if child := nod.fields[name]; child != nil && val <= 0 {
		rea.faultAt(child, "is not above zero", "give a number above zero")
	}
	return val
}

// count reads a whole number that is not negative.
func (rea *reader) count(nod *node, name string) int {
	val := rea.number(nod, name)
	if child := nod.fields[name]; child != nil && (val < 0 || val > math.MaxInt32 || val != math.Trunc(val)) {
		rea.faultAt(child, "is not a count", "give a whole number, 0 or above")
		return 0
	}
	return int(val)
}

func (rea *reader) version(nod *node) uint64 {
	child := rea.get(nod, "version")
	if child == nil {
		return 0
	}
	num, _ := child.scalar.(json.Number)
	val, err := strconv.ParseUint(num.String(), 10, 64)
	if err != nil || val == 0 {
		rea.faultAt(child, "is not a version", "give a whole number above zero that rises with each change")
	}
	return val
}

func (rea *reader) duration(nod *node, name string) time.Duration {
	val := rea.text(nod, name)
	if val == "" {
		return 0
	}
	dur, err := time.ParseDuration(val)
	if err != nil || dur <= 0 {
		rea.faultAt(nod.fields[name], fmt.Sprintf("is %q", val), `give a duration above zero such as "250ms"`)
		return 0
	}
	return dur
}

// unique reports a name that an earlier item of the same list has.
func (rea *reader) unique(seen map[string]bool, nod *node, name string) {
	if name == "" {
		return
	}
	if seen[name] {
		rea.faultAt(nod, fmt.Sprintf("repeats %q", name), "remove or rename one")
	}
	seen[name] = true
}
