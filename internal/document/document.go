// Package document decodes, validates, hashes and compares documents, which hold the declared
// configuration of the fleet, and derives change sets from them.
package document

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"sort"

	"go.yaml.in/yaml/v3"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// MaxBytes is the maximum size of an encoded document. A document with 2,800 hosts takes about 0.8 MiB.
const MaxBytes = 8 << 20

// Decode decodes a YAML document. Unknown fields, a second document and oversized input are errors.
func Decode(data []byte) (*structs.Document, error) {
	if len(data) > MaxBytes {
		return nil, fault.New(fault.DocumentInvalid, "%d bytes: want at most %d", len(data), MaxBytes)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	doc := &structs.Document{}
	if err := decoder.Decode(doc); err != nil {
		return nil, fault.Wrap(fault.DocumentInvalid, err, "document can't be decoded")
	}
	if err := decoder.Decode(&yaml.Node{}); !errors.Is(err, io.EOF) {
		return nil, fault.New(fault.DocumentInvalid, "want exactly one YAML document")
	}
	Normalize(doc)
	return doc, nil
}

// Encode returns doc as YAML.
func Encode(doc *structs.Document) ([]byte, error) {
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(2)
	if err := encoder.Encode(doc); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "document can't be encoded")
	}
	return out.Bytes(), nil
}

// Normalize sorts the objects of each kind by name, so that equal documents have equal encodings.
func Normalize(doc *structs.Document) {
	sort.Slice(doc.Zones, func(i, j int) bool { return doc.Zones[i].Name < doc.Zones[j].Name })
	sort.Slice(doc.Pools, func(i, j int) bool { return doc.Pools[i].Name < doc.Pools[j].Name })
	sort.Slice(doc.Hosts, func(i, j int) bool { return doc.Hosts[i].Name < doc.Hosts[j].Name })
	sort.Slice(doc.Teams, func(i, j int) bool { return doc.Teams[i].Name < doc.Teams[j].Name })
	sort.Slice(doc.Keys, func(i, j int) bool { return doc.Keys[i].ID < doc.Keys[j].ID })
	sort.Slice(doc.Waves, func(i, j int) bool { return doc.Waves[i].Name < doc.Waves[j].Name })
}

// Hash returns the SHA-256 hash of doc. It covers the kind, the name and the SHA-256 digest of each
// object, sorted by kind and name, so that a fold that keeps the digests (see Index) needn't encode
// the whole document for each change.
func Hash(doc *structs.Document) ([]byte, error) {
	objects, err := Objects(doc)
	if err != nil {
		return nil, err
	}
	return HashObjects(objects), nil
}

// HashObjects returns the hash of a document with the objects, which must be sorted by kind and name.
func HashObjects(objects []Object) []byte {
	hasher := sha256.New()
	for _, object := range objects {
		writeObjectDigest(hasher, object.Kind, object.Name, sha256.Sum256(object.Body))
	}
	return hasher.Sum(nil)
}

// Object is a named part of a document in its canonical JSON encoding.
type Object struct {
	Kind string
	Name string
	Body []byte
}

// Kinds of objects.
const (
	KindZone   = "zone"
	KindPool   = "pool"
	KindHost   = "host"
	KindTeam   = "team"
	KindKey    = "key"
	KindWave   = "wave"
	KindPolicy = "policy"
)

// policyName is the name of the single object of kind policy.
const policyName = "policy"

// Objects returns the objects of doc, sorted by kind and name.
func Objects(doc *structs.Document) ([]Object, error) {
	var objects []Object
	add := func(kind, name string, value any) error {
		body, err := json.Marshal(value)
		if err != nil {
			return fault.Wrap(fault.Internal, err, "%s %s can't be encoded", kind, name)
		}
		objects = append(objects, Object{Kind: kind, Name: name, Body: body})
		return nil
	}
	var errs []error
	for _, zone := range doc.Zones {
		errs = append(errs, add(KindZone, zone.Name, zone))
	}
	for _, pool := range doc.Pools {
		errs = append(errs, add(KindPool, pool.Name, pool))
	}
	for _, host := range doc.Hosts {
		errs = append(errs, add(KindHost, host.Name, host))
	}
	for _, team := range doc.Teams {
		errs = append(errs, add(KindTeam, team.Name, team))
	}
	for _, key := range doc.Keys {
		errs = append(errs, add(KindKey, key.ID, key))
	}
	for _, wave := range doc.Waves {
		errs = append(errs, add(KindWave, wave.Name, wave))
	}
	errs = append(errs, add(KindPolicy, policyName, doc.Policy))
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	sort.SliceStable(objects, func(i, j int) bool {
		if objects[i].Kind != objects[j].Kind {
			return objects[i].Kind < objects[j].Kind
		}
		return objects[i].Name < objects[j].Name
	})
	return objects, nil
}

// Ref identifies an object of a document.
type Ref struct {
	Kind string
	Name string
}

// Bodies returns the canonical JSON encoding of each object of doc.
func Bodies(doc *structs.Document) (map[Ref]string, error) {
	objects, err := Objects(doc)
	if err != nil {
		return nil, err
	}
	bodies := make(map[Ref]string, len(objects))
	for _, object := range objects {
		bodies[Ref{object.Kind, object.Name}] = string(object.Body)
	}
	return bodies, nil
}
