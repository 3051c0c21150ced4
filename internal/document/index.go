package document

import (
	"crypto/sha256"
	"hash"
	"sort"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/structs"
)

// Index holds the digest of each object of a document, so that only the changed objects have to be
// encoded to compute the hash of the next version. An Index is immutable.
type Index struct {
	// entries are sorted by kind and name.
	entries []indexEntry
	// bytes is the total size of the canonical encodings.
	bytes int
}

type indexEntry struct {
	kind   string
	name   string
	digest [sha256.Size]byte
	size   int
}

// NewIndex returns the index of doc. It encodes the whole document.
func NewIndex(doc *structs.Document) (*Index, error) {
	objects, err := Objects(doc)
	if err != nil {
		return nil, err
	}
	return (&Index{}).withEdits(objects), nil
}

// Bytes returns the total size of the canonical encodings of all objects.
func (x *Index) Bytes() int { return x.bytes }

// Hash returns the same hash as the function Hash does for the document.
func (x *Index) Hash() []byte {
	hasher := sha256.New()
	for i := range x.entries {
		entry := &x.entries[i]
		writeObjectDigest(hasher, entry.kind, entry.name, entry.digest)
	}
	return hasher.Sum(nil)
}

// writeObjectDigest adds the kind, name and digest of one object to the hash of a document.
func writeObjectDigest(hasher hash.Hash, kind, name string, digest [sha256.Size]byte) {
	var buffer [256]byte
	line := append(buffer[:0], kind...)
	line = append(line, 0)
	line = append(line, name...)
	line = append(line, 0)
	line = append(line, digest[:]...)
	hasher.Write(line)
}

// withEdits returns the index with the edits applied, by merging two lists sorted by kind and name.
func (x *Index) withEdits(edits []edit) *Index {
	sorted := append([]edit(nil), edits...)
	sort.Slice(sorted, func(i, j int) bool {
		return sortsBefore(sorted[i].Kind, sorted[i].Name, sorted[j].Kind, sorted[j].Name)
	})
	next := &Index{entries: make([]indexEntry, 0, len(x.entries)+len(sorted))}
	remaining := x.entries
	for _, change := range sorted {
		for len(remaining) > 0 && sortsBefore(remaining[0].kind, remaining[0].name, change.Kind, change.Name) {
			next.add(remaining[0])
			remaining = remaining[1:]
		}
		if len(remaining) > 0 && remaining[0].kind == change.Kind && remaining[0].name == change.Name {
			remaining = remaining[1:]
		}
		if change.Body != nil {
			next.add(indexEntry{change.Kind, change.Name, sha256.Sum256(change.Body), len(change.Body)})
		}
	}
	for _, entry := range remaining {
		next.add(entry)
	}
	return next
}

func (x *Index) add(entry indexEntry) {
	x.entries = append(x.entries, entry)
	x.bytes += entry.size
}

func sortsBefore(leftKind, leftName, rightKind, rightName string) bool {
	if leftKind != rightKind {
		return leftKind < rightKind
	}
	return leftName < rightName
}

func sortedNames(changes map[string]*v1.Change) []string {
	names := make([]string, 0, len(changes))
	for name := range changes {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func sortByName[T any](list []T, name func(*T) string) {
	sort.Slice(list, func(i, j int) bool { return name(&list[i]) < name(&list[j]) })
}
