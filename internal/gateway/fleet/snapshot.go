// Package fleet holds the newest view of the fleet state, indexed for lookups by the request filters.
package fleet

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"time"

	"turmericyoke/internal/structs"
)

// rollOutTime is the time within which an accepted configuration is in force in each zone that reaches the log.
const rollOutTime = 17 * time.Second

// Snapshot is an indexed view. It must not be modified.
type Snapshot struct {
	View *structs.View
	// FreshAt is when the view was last known to be current; zero if that isn't known.
	FreshAt time.Time

	// salt is a random value that is mixed into the hashes that index keys; see saltedHash.
	salt  [sha256.Size]byte
	teams map[string]structs.Team
	pools map[string]structs.Pool
	keys  map[[sha256.Size]byte]indexedKey
}

// indexedKey is an API key with its decoded hash.
type indexedKey struct {
	key  structs.Key
	hash [sha256.Size]byte
}

// NewSnapshot returns an index of view, which must not be modified afterwards. freshAt is when view was
// last known to be current, or zero.
func NewSnapshot(view *structs.View, freshAt time.Time) *Snapshot {
	s := &Snapshot{
		View: view, FreshAt: freshAt,
		teams: make(map[string]structs.Team, len(view.Teams)),
		pools: make(map[string]structs.Pool, len(view.Pools)),
		keys:  make(map[[sha256.Size]byte]indexedKey, len(view.Keys)),
	}
	// crypto/rand.Read never returns an error; if there is no randomness it ends the process.
	_, _ = rand.Read(s.salt[:])
	for _, team := range view.Teams {
		s.teams[team.Name] = team
	}
	for _, pool := range view.Pools {
		s.pools[pool.Name] = pool
	}
	for _, key := range view.Keys {
		s.addKey(key)
	}
	return s
}

// withFreshAt returns a copy of s with the given FreshAt.
func (s *Snapshot) withFreshAt(freshAt time.Time) *Snapshot {
	updated := *s
	updated.FreshAt = freshAt
	return &updated
}

// addKey indexes key. It skips a key whose hash is malformed, so that no secret matches it.
func (s *Snapshot) addKey(key structs.Key) {
	decoded, err := hex.DecodeString(key.Hash)
	if err != nil || len(decoded) != sha256.Size {
		return
	}
	entry := indexedKey{key: key}
	copy(entry.hash[:], decoded)
	s.keys[s.saltedHash(entry.hash)] = entry
}

// saltedHash hashes the hash of a key with the random salt, so that the duration of a map lookup tells a
// caller nothing about the hashes of other keys.
func (s *Snapshot) saltedHash(hash [sha256.Size]byte) [sha256.Size]byte {
	var salted [2 * sha256.Size]byte
	copy(salted[:], s.salt[:])
	copy(salted[sha256.Size:], hash[:])
	return sha256.Sum256(salted[:])
}

// Key returns the key that has the secret. It compares hashes in constant time.
func (s *Snapshot) Key(secret []byte) (structs.Key, bool) {
	hash := sha256.Sum256(secret)
	entry, found := s.keys[s.saltedHash(hash)]
	if subtle.ConstantTimeCompare(entry.hash[:], hash[:]) != 1 || !found {
		return structs.Key{}, false
	}
	return entry.key, true
}

// Team returns the configured team with the name.
func (s *Snapshot) Team(name string) (structs.Team, bool) {
	team, ok := s.teams[name]
	return team, ok
}

// Pool returns the configured pool with the name.
func (s *Snapshot) Pool(name string) (structs.Pool, bool) {
	pool, ok := s.pools[name]
	return pool, ok
}

// Fresh reports whether the view was known to be current at most maxAge before now.
func (s *Snapshot) Fresh(now time.Time, maxAge time.Duration) bool {
	return !s.FreshAt.IsZero() && now.Sub(s.FreshAt) <= maxAge
}

// ProvesAbsence reports whether something that the view doesn't have wasn't accepted long before now. An older view
// proves nothing about what has been accepted since, and the empty view of a starting gateway nothing at all.
func (s *Snapshot) ProvesAbsence(now time.Time) bool { return s.Fresh(now, rollOutTime) }
