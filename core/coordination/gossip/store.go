package gossip

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"slices"

	"amaranthline/core"
	"amaranthline/core/state/decl"
)

const maxRefused = 32 // refused documents remembered

// documentNames lists the documents in the order in which a starting node reads them. The host list is first because it
// gives the addresses of the peers that have the declarations.
var documentNames = []string{core.DocumentHosts, core.DocumentDeclarations}

// Digest is the SHA-256 sum of a document as published.
type Digest [sha256.Size]byte

// String returns the first eight bytes in hexadecimal digits.
func (dig Digest) String() string { return hex.EncodeToString(dig[:8]) }

// Version identifies a published document; the versions of one document are ordered by number, then by digest.
type Version struct {
	name   string
	number uint64
	digest Digest
}

// NewVersion returns the version of a published document.
func NewVersion(doc core.Document) Version {
	return Version{name: doc.Name(), number: doc.Version(), digest: sha256.Sum256(doc.Data())}
}

// Name returns the name of the document.
func (ver Version) Name() string { return ver.name }

// Number returns the published version number.
func (ver Version) Number() uint64 { return ver.number }

// Digest returns the digest of the published bytes.
func (ver Version) Digest() Digest { return ver.digest }

// NewerThan reports whether the version replaces another version of the same document.
func (ver Version) NewerThan(other Version) bool {
	if ver.number != other.number {
		return ver.number > other.number
	}
	return bytes.Compare(ver.digest[:], other.digest[:]) > 0
}

// DocumentError says why a document was refused.
type DocumentError struct {
	version Version
	cause   error
}

// Version returns the version of the refused document.
func (doe *DocumentError) Version() Version { return doe.version }

// Error names the document, its faults and the remedy.
func (doe *DocumentError) Error() string {
	text := fmt.Sprintf("%s version %d is refused and the last accepted version stays in force: %v", doe.version.name, doe.version.number, doe.cause)
	if isOlderContent(doe.cause) {
		return text
	}
	return text + "; publish a corrected document with a higher version"
}

// Unwrap returns the error that lists the faults.
func (doe *DocumentError) Unwrap() error { return doe.cause }

// VersionMismatchError says that the version number under which a document was published differs from the one in its
// text.
type VersionMismatchError struct {
	published uint64
	embedded  uint64
}

// Error names both version numbers and the remedy.
func (vme *VersionMismatchError) Error() string {
	return fmt.Sprintf("the document is published as version %d but its text contains version %d; publish it under the version in its text",
		vme.published, vme.embedded)
}

// RevertError says that declarations have an older content than those in force, although their version is higher: the
// platform was restored from a copy and has not been given the newer content again.
type RevertError struct {
	refused, held uint64 // operator versions
}

// Error names both operator versions and the remedy.
func (rer *RevertError) Error() string {
	return fmt.Sprintf("its operator version %d is below %d, which is in force; wait until operators publish theirs again", rer.refused, rer.held)
}

// SettlingError says that a host list was read while running hosts may still be missing from it.
type SettlingError struct{}

// Error names the cause and the remedy.
func (*SettlingError) Error() string {
	return "hosts were still registering when it was read; wait for a list that is complete"
}

// isOlderContent reports whether a document was refused because a newer or more complete one is in force.
func isOlderContent(err error) bool {
	var rer *RevertError
	var ser *SettlingError
	return errors.As(err, &rer) || errors.As(err, &ser)
}

// heldDocument is a document in force.
type heldDocument struct {
	Version
	size       int // bytes before compression
	compressed []byte
}

// Store holds the documents in force: of each name, the valid document with the highest version that it received. Because
// only a higher version replaces a document, a stale source cannot revert a change, and all nodes that received the same
// documents hold the same one. A platform that was restored from a copy publishes older contents under higher versions;
// these never replace newer ones.
type Store struct {
	held         map[string]*heldDocument // by document name
	refused      []*DocumentError         // oldest first
	declarations *decl.Declarations
	hosts        *decl.Hosts // as published
	usedHosts    *decl.Hosts // those of hosts that take part
	onlyDeclared bool        // hosts of services that are not declared are not used
}

// NewStore returns a store without documents.
func NewStore() *Store {
	return &Store{held: map[string]*heldDocument{}}
}

// UseOnlyDeclared keeps hosts of services that are not declared out of use. It must be called before the first document is
// applied.
func (sto *Store) UseOnlyDeclared() { sto.onlyDeclared = true }

// Version returns the version of a document that is in force, and false if there is none.
func (sto *Store) Version(name string) (Version, bool) {
	hel, ok := sto.held[name]
	if !ok {
		return Version{}, false
	}
	return hel.Version, true
}

// Compressed returns a document in force in its compressed form, or nil if no version is in force.
func (sto *Store) Compressed(name string) []byte {
	if hel, ok := sto.held[name]; ok {
		return hel.compressed
	}
	return nil
}

// Size returns the number of bytes of a document in force before compression.
func (sto *Store) Size(name string) int {
	if hel, ok := sto.held[name]; ok {
		return hel.size
	}
	return 0
}

// Supersedes reports whether a version would replace the one in force; a version that was refused would not.
func (sto *Store) Supersedes(ver Version) bool {
	if !slices.Contains(documentNames, ver.name) || sto.findRefusal(ver) != nil {
		return false
	}
	hel, ok := sto.held[ver.name]
	return !ok || ver.NewerThan(hel.Version)
}

// Refused returns the refused documents that are newer than the version in force, in the order of their
// refusals.
func (sto *Store) Refused() []*DocumentError {
	var out []*DocumentError
	for _, doe := range sto.refused {
		hel, ok := sto.held[doe.version.name]
		if !ok || doe.version.NewerThan(hel.Version) {
			out = append(out, doe)
		}
	}
	return out
}

func (sto *Store) findRefusal(ver Version) *DocumentError {
	for _, doe := range sto.refused {
		if doe.version == ver {
			return doe
		}
	}
	return nil
}

// Snapshot returns the declarations and the host list in force, or nil until there are both.
func (sto *Store) Snapshot() *decl.Snapshot {
	if sto.declarations == nil || sto.hosts == nil {
		return nil
	}
	return decl.NewSnapshot(sto.declarations, sto.usedHosts)
}

// Hosts returns the host list in force, or nil if there is none.
func (sto *Store) Hosts() *decl.Hosts { return sto.usedHosts }

// selectHosts chooses the hosts to use from the documents in force.
func (sto *Store) selectHosts() {
	sto.usedHosts = sto.hosts
	if sto.onlyDeclared && sto.hosts != nil && sto.declarations != nil {
		sto.usedHosts = sto.hosts.OfDeclaredServices(sto.declarations)
	}
}

// Ignored returns what the documents in force contain but is not in force because it is invalid or not used.
func (sto *Store) Ignored() []*decl.IgnoredItem {
	var out []*decl.IgnoredItem
	if sto.declarations != nil {
		out = append(out, sto.declarations.Ignored()...)
	}
	if sto.usedHosts != nil {
		out = append(out, sto.usedHosts.Ignored()...)
	}
	return out
}

// Apply puts a document in force if it is valid and newer than the one in force, and reports whether it did.
// If compressed is nil, Apply compresses the document itself.
func (sto *Store) Apply(doc core.Document, compressed []byte) (bool, error) {
	ver := NewVersion(doc)
	if doe := sto.findRefusal(ver); doe != nil {
		return false, doe
	}
	if !sto.Supersedes(ver) {
		return false, nil
	}
	install, err := sto.validate(doc)
	if err != nil {
		return false, sto.recordRefusal(ver, err)
	}
	if compressed == nil {
		compressed = Compress(doc.Data())
	}
	install()
	sto.selectHosts()
	sto.held[ver.name] = &heldDocument{Version: ver, size: len(doc.Data()), compressed: compressed}
	return true, nil
}

// validate decodes a document and returns the function that puts the decoded form in force.
func (sto *Store) validate(doc core.Document) (func(), error) {
	if doc.Name() == core.DocumentHosts {
		hos, err := decl.DecodeHostsTolerant(doc.Data())
		if err != nil {
			return nil, err
		}
		if hos.Settling() && sto.hosts != nil && !sto.hosts.Settling() {
			return nil, &SettlingError{}
		}
		return func() { sto.hosts = hos }, checkEmbeddedVersion(doc, hos.Version())
	}
	dec, err := decl.DecodeTolerant(doc.Data())
	if err != nil {
		return nil, err
	}
	if held := sto.declarations; held != nil {
		if dec.OperatorVersion() > 0 && dec.OperatorVersion() < held.OperatorVersion() {
			return nil, &RevertError{refused: dec.OperatorVersion(), held: held.OperatorVersion()}
		}
		if dec.Settling() {
			dec = dec.KeepOutOfService(held)
		}
	}
	return func() { sto.declarations = dec }, checkEmbeddedVersion(doc, dec.Version())
}

func checkEmbeddedVersion(doc core.Document, embedded uint64) error {
	if doc.Version() != embedded {
		return &VersionMismatchError{published: doc.Version(), embedded: embedded}
	}
	return nil
}

func (sto *Store) recordRefusal(ver Version, cause error) error {
	doe := &DocumentError{version: ver, cause: cause}
	sto.refused = append(sto.refused, doe)
	if len(sto.refused) > maxRefused {
		sto.refused = slices.Delete(sto.refused, 0, 1)
	}
	return doe
}

// Compress compresses a document.
func Compress(data []byte) []byte {
	var buf bytes.Buffer
	zip := gzip.NewWriter(&buf)
	_, _ = zip.Write(data) // a bytes.Buffer accepts every write
	_ = zip.Close()
	return buf.Bytes()
}

// DecompressError says that a peer's document cannot be decompressed.
type DecompressError struct {
	cause error
}

// Error names the cause and the remedy.
func (dee *DecompressError) Error() string {
	return fmt.Sprintf("the document of a peer cannot be decompressed: %v; pull it from another peer", dee.cause)
}

// Unwrap returns the cause.
func (dee *DecompressError) Unwrap() error { return dee.cause }

// Decompress decompresses a document of at most decl.MaxDocumentBytes.
func Decompress(compressed []byte) ([]byte, error) {
	zip, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, &DecompressError{cause: err}
	}
	data, err := io.ReadAll(io.LimitReader(zip, decl.MaxDocumentBytes+1))
	if err != nil {
		return nil, &DecompressError{cause: err}
	}
	if len(data) > decl.MaxDocumentBytes {
		return nil, &DecompressError{cause: fmt.Errorf("it has more than %d bytes after decompression", decl.MaxDocumentBytes)}
	}
	return data, nil
}
