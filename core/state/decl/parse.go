package decl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	maxPublishedBytes = 1 << 20 // the platform stores values of at most 1 MiB
	// MaxDocumentBytes is the longest document in bytes that a node holds. The document that a value of the platform is
	// translated to is several times as long as the value.
	MaxDocumentBytes = 16 << 20
	maxNesting       = 16 // levels below the root value
)

// ValidationError reports an error in a document with its line, its field and a remedy.
type ValidationError struct {
	line   int
	field  string
	detail string
	remedy string
}

// Line returns the line of the error, counted from 1.
func (ve *ValidationError) Line() int { return ve.line }

// Field returns the path of the field with the error, such as teams[0].rate.
func (ve *ValidationError) Field() string { return ve.field }

// Error returns the line, the field, the error and the remedy.
func (ve *ValidationError) Error() string {
	return fmt.Sprintf("line %d: %s: %s; %s", ve.line, ve.field, ve.detail, ve.remedy)
}

// jsonNode is a JSON value with its line and path, so that errors found after parsing can name them.
type jsonNode struct {
	line       int
	path       string
	scalar     any
	list       []*jsonNode
	fields     map[string]*jsonNode
	fieldNames []string // keys of fields in document order
	repeated   []error  // one for each field that is given twice
}

// documentReader parses a document, reads the fields of its nodes and collects the errors.
type documentReader struct {
	data     []byte
	decoder  *json.Decoder
	errs     []error
	tolerant bool           // an item of a list that has errors is ignored instead of making the document invalid
	ignored  []*IgnoredItem // only if tolerant
	offset   int64          // end of the data whose newlines are counted in line
	line     int
}

// currentLine returns the line up to which the decoder has read, counted from 1.
func (doc *documentReader) currentLine() int {
	end := min(doc.decoder.InputOffset(), int64(len(doc.data)))
	doc.line += bytes.Count(doc.data[doc.offset:end], []byte{'\n'})
	doc.offset = end
	return doc.line
}

func (doc *documentReader) addError(line int, field, detail, remedy string) {
	doc.errs = append(doc.errs, &ValidationError{line: line, field: field, detail: detail, remedy: remedy})
}

func (doc *documentReader) addErrorAt(nod *jsonNode, detail, remedy string) {
	doc.addError(nod.line, nod.path, detail, remedy)
}

// ignoreInvalid reports whether an item of a list is to be ignored because there have been errors since the first ones, and
// removes these.
func (doc *documentReader) ignoreInvalid(nod *jsonNode, first int) bool {
	if !doc.tolerant || len(doc.errs) == first {
		return false
	}
	list, _, _ := strings.Cut(nod.path, "[")
	doc.ignored = append(doc.ignored, &IgnoredItem{list: list, path: nod.path, name: nod.itemName(), cause: errors.Join(doc.errs[first:]...)})
	doc.errs = doc.errs[:first:first]
	return true
}

// parse returns the root node of a document and the reader for its fields.
func parse(data []byte, tolerant bool) (*documentReader, *jsonNode, error) {
	doc := &documentReader{data: data, decoder: json.NewDecoder(bytes.NewReader(data)), tolerant: tolerant, line: 1}
	maxBytes := maxPublishedBytes
	if tolerant {
		maxBytes = MaxDocumentBytes
	}
	if len(data) > maxBytes {
		return nil, nil, &ValidationError{
			line: 1, field: "document", detail: fmt.Sprintf("has %d bytes", len(data)),
			remedy: fmt.Sprintf("publish at most %d bytes", maxBytes),
		}
	}
	doc.decoder.UseNumber()
	root, err := doc.parseValue("", 0)
	if err != nil {
		return nil, nil, doc.syntaxError(err)
	}
	if _, err := doc.decoder.Token(); !errors.Is(err, io.EOF) {
		doc.addError(doc.currentLine(), "document", "has text after its end", "remove it")
	}
	return doc, root, nil
}

func (doc *documentReader) syntaxError(err error) error {
	var ve *ValidationError
	if errors.As(err, &ve) {
		return err
	}
	line := doc.currentLine()
	var syn *json.SyntaxError
	if errors.As(err, &syn) {
		line = 1 + bytes.Count(doc.data[:min(syn.Offset, int64(len(doc.data)))], []byte{'\n'})
	}
	return &ValidationError{line: line, field: "document", detail: err.Error(), remedy: "correct the JSON syntax"}
}

func (doc *documentReader) parseValue(path string, depth int) (*jsonNode, error) {
	tok, err := doc.decoder.Token()
	if err != nil {
		return nil, err
	}
	nod := &jsonNode{line: doc.currentLine(), path: path}
	if depth > maxNesting {
		return nod, doc.skipValue(tok) // the field of the schema that contains the value is reported
	}
	switch tok {
	case json.Delim('{'):
		return nod, doc.parseObject(nod, depth)
	case json.Delim('['):
		return nod, doc.parseArray(nod, depth)
	}
	nod.scalar = tok
	return nod, nil
}

// skipValue reads to the end of the value that begins with a token.
func (doc *documentReader) skipValue(first json.Token) error {
	for tok, depth := first, 0; ; {
		switch tok {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
		var err error
		if tok, err = doc.decoder.Token(); err != nil {
			return err
		}
	}
}

func (doc *documentReader) parseObject(nod *jsonNode, depth int) error {
	nod.fields = map[string]*jsonNode{}
	for doc.decoder.More() {
		tok, err := doc.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := tok.(string)
		path := name
		if nod.path != "" {
			path = nod.path + "." + name
		}
		child, err := doc.parseValue(path, depth+1)
		if err != nil {
			return err
		}
		if _, ok := nod.fields[name]; ok {
			nod.repeated = append(nod.repeated, &ValidationError{line: child.line, field: child.path, detail: "is given twice", remedy: "keep one"})
			continue
		}
		nod.fields[name] = child
		nod.fieldNames = append(nod.fieldNames, name)
	}
	_, err := doc.decoder.Token()
	return err
}

func (doc *documentReader) parseArray(nod *jsonNode, depth int) error {
	nod.list = []*jsonNode{}
	for doc.decoder.More() {
		child, err := doc.parseValue(nod.path+"["+strconv.Itoa(len(nod.list))+"]", depth+1)
		if err != nil {
			return err
		}
		nod.list = append(nod.list, child)
	}
	_, err := doc.decoder.Token()
	return err
}

// checkFields reports fields of an object that are not in names, the fields of the schema; it returns false if the node is
// not an object. A tolerant reader ignores such fields, because nodes of a later version may write them.
func (doc *documentReader) checkFields(nod *jsonNode, names ...string) bool {
	if nod.fields == nil {
		doc.addErrorAt(nod, "is not an object", "write it in braces")
		return false
	}
	for _, name := range nod.fieldNames {
		if contains(names, name) {
			continue
		}
		child := nod.fields[name]
		unknown := &ValidationError{line: child.line, field: child.path, detail: "is not a known field", remedy: fmt.Sprintf("use one of %q", names)}
		if doc.tolerant {
			doc.ignored = append(doc.ignored, &IgnoredItem{path: child.path, cause: unknown})
		} else {
			doc.errs = append(doc.errs, unknown)
		}
	}
	doc.errs = append(doc.errs, nod.repeated...)
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

// requiredField returns a field, and reports it if it is missing.
func (doc *documentReader) requiredField(nod *jsonNode, name string) *jsonNode {
	child := nod.fields[name]
	if child == nil {
		doc.addError(nod.line, joinPath(nod.path, name), "is missing", "add it")
	}
	return child
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (doc *documentReader) listField(nod *jsonNode, name string) []*jsonNode {
	child := doc.requiredField(nod, name)
	if child == nil {
		return nil
	}
	if child.list == nil {
		doc.addErrorAt(child, "is not an array", "write it in brackets")
	}
	return child.list
}

func (doc *documentReader) stringField(nod *jsonNode, name string) string {
	child := doc.requiredField(nod, name)
	if child == nil {
		return ""
	}
	val, ok := child.scalar.(string)
	if !ok || val == "" {
		doc.addErrorAt(child, "is not a string or is empty", "give a non-empty string")
	}
	return val
}

// enumField reads a string that must be one of the allowed values.
func (doc *documentReader) enumField(nod *jsonNode, name string, allowed ...string) string {
	val := doc.stringField(nod, name)
	if val != "" && !contains(allowed, val) {
		doc.addErrorAt(nod.fields[name], fmt.Sprintf("is %q", val), fmt.Sprintf("use one of %q", allowed))
	}
	return val
}

func (doc *documentReader) boolField(nod *jsonNode, name string) bool {
	child := nod.fields[name]
	if child == nil {
		return false
	}
	val, ok := child.scalar.(bool)
	if !ok {
		doc.addErrorAt(child, "is not a boolean", "give true or false")
	}
	return val
}

func (doc *documentReader) numberField(nod *jsonNode, name string) float64 {
	child := doc.requiredField(nod, name)
	if child == nil {
		return 0
	}
	num, _ := child.scalar.(json.Number)
	val, err := num.Float64()
	if err != nil || math.IsInf(val, 0) {
		doc.addErrorAt(child, "is not a number", "give a number")
		return 0
	}
	return val
}

// positiveField reads a number above zero.
func (doc *documentReader) positiveField(nod *jsonNode, name string) float64 {
	val := doc.numberField(nod, name)
	if child := nod.fields[name]; child != nil && val <= 0 {
		doc.addErrorAt(child, "is not above zero", "give a number above zero")
	}
	return val
}

// countField reads a whole number from 0 to math.MaxInt32.
func (doc *documentReader) countField(nod *jsonNode, name string) int {
	val := doc.numberField(nod, name)
	if child := nod.fields[name]; child != nil && (val < 0 || val > math.MaxInt32 || val != math.Trunc(val)) {
		doc.addErrorAt(child, "is not a whole number from 0 to 2147483647", "give a whole number in this range")
		return 0
	}
	return int(val)
}

// versionField reads a whole number above zero.
func (doc *documentReader) versionField(nod *jsonNode, name string) uint64 {
	child := doc.requiredField(nod, name)
	if child == nil {
		return 0
	}
	num, _ := child.scalar.(json.Number)
	val, err := strconv.ParseUint(num.String(), 10, 64)
	if err != nil || val == 0 {
		doc.addErrorAt(child, "is not a valid version", "give a whole number above zero that rises with each change")
	}
	return val
}

func (doc *documentReader) durationField(nod *jsonNode, name string) time.Duration {
	val := doc.stringField(nod, name)
	if val == "" {
		return 0
	}
	dur, err := time.ParseDuration(val)
	if err != nil || dur <= 0 {
		doc.addErrorAt(nod.fields[name], fmt.Sprintf("is %q", val), `give a duration above zero such as "250ms"`)
		return 0
	}
	return dur
}

// checkUnique reports a name that an earlier item of the same list has.
func (doc *documentReader) checkUnique(seen map[string]bool, nod *jsonNode, name string) {
	if name != "" && seen[name] {
		doc.addErrorAt(nod, fmt.Sprintf("repeats %q", name), "remove or rename one")
	}
}
