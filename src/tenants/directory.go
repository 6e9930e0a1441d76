package tenants

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"hash/maphash"
	"math"
	"slices"
	"strings"

	"github.com/yuccaport/yuccaport/src/problem"
)

// Directory maps keys to the tenants of one configuration version. It is immutable and holds hashes
// of the keys only.
type Directory struct {
	seed    maphash.Seed // of this directory, so that callers cannot aim at a bucket
	buckets map[uint64][]directoryKey
	tenants []Tenant
	longest int // length of the longest key in bytes
}

// directoryKey is the hash of a key with the index of its tenant.
type directoryKey struct {
	digest [sha256.Size]byte
	tenant int
}

// NewDirectory returns the directory of a configuration's tenants, nil for none. It returns an error
// of kind problem.Document, which names the tenants and no key, if a tenant lacks a name, has the name
// or a key of another one, or has a key or limit that cannot be used.
func NewDirectory(entries []Tenant) (*Directory, error) {
	if len(entries) == 0 {
		return nil, nil //nolint:nilnil // a configuration without tenants has no directory
	}
	d := &Directory{seed: maphash.MakeSeed(), buckets: map[uint64][]directoryKey{}, tenants: make([]Tenant, len(entries))}
	names := map[string]bool{}
	for i, t := range entries {
		if err := t.validate(i); err != nil {
			return nil, err
		}
		if names[t.Name] {
			return nil, problem.New(problem.Document, tenantPath(t.Name), "its name occurs twice", "give each tenant a name of its own")
		}
		names[t.Name] = true
		if err := d.add(i, t); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// validate checks one entry; i is its position.
func (t *Tenant) validate(i int) error {
	if strings.TrimSpace(t.Name) == "" {
		return problem.New(problem.Document, fmt.Sprintf("tenant at position %d", i+1), "has no name", "give it a name")
	}
	if strings.ContainsFunc(t.Name, func(r rune) bool { return r < ' ' || r > '~' }) {
		return problem.New(problem.Document, tenantPath(t.Name), "its name cannot be sent in a header field", "use visible ASCII characters and spaces")
	}
	if slices.ContainsFunc(t.Keys, func(k Key) bool { return !k.isUsable() }) {
		return problem.New(problem.Document, tenantPath(t.Name), "has a key that callers cannot send",
			fmt.Sprintf("use keys of 1 to %d visible ASCII characters without spaces", maxKeyBytes))
	}
	for name, limit := range map[string]float64{"rate": t.RatePerSec, "burst": t.Burst} {
		if limit < 0 || math.IsNaN(limit) || math.IsInf(limit, 0) {
			return problem.New(problem.Document, tenantPath(t.Name), "its "+name+" is not a number of requests", "set it to 0, for no limit, or above")
		}
	}
	return nil
}

// add adds an entry's keys; a key that occurs twice in one entry is added once.
func (d *Directory) add(i int, t Tenant) error {
	for _, k := range t.Keys {
		key := []byte(k)
		if other := d.find(key); other >= 0 && other != i {
			return problem.New(problem.Document, fmt.Sprintf("tenants %q and %q", d.tenants[other].Name, t.Name), "hold the same key", "give each tenant keys of its own")
		}
		bucket := maphash.Bytes(d.seed, key)
		d.buckets[bucket] = append(d.buckets[bucket], directoryKey{digest: sha256.Sum256(key), tenant: i})
		d.longest = max(d.longest, len(key))
	}
	t.Keys = nil
	d.tenants[i] = t
	return nil
}

// Tenants returns the tenants, without their keys; the slice must not be modified.
func (d *Directory) Tenants() []Tenant {
	if d == nil {
		return nil
	}
	return d.tenants
}

// Lookup returns the tenant whose key is in a request's Authorization fields, given by their values;
// the tenant is nil unless the verdict is VerdictAccepted. It allocates nothing.
func (d *Directory) Lookup(values [][]byte) (*Tenant, Verdict) {
	switch len(values) {
	case 0:
		return nil, VerdictMissing
	case 1:
	default:
		return nil, VerdictDuplicated
	}
	key, ok := keyOf(values[0])
	if !ok {
		return nil, VerdictMalformed
	}
	i := d.find(key)
	if i < 0 {
		return nil, VerdictUnknown
	}
	return &d.tenants[i], VerdictAccepted
}

// find returns the index of the tenant with a key, -1 for none. The time that it takes depends on
// the key's length, but not on how much of a key it equals.
func (d *Directory) find(key []byte) int {
	if len(key) > max(d.longest, 1) {
		return -1 // keeps the cost of long fields low
	}
	digest := sha256.Sum256(key)
	for _, k := range d.buckets[maphash.Bytes(d.seed, key)] {
		if subtle.ConstantTimeCompare(k.digest[:], digest[:]) == 1 {
			return k.tenant
		}
	}
	return -1
}

func tenantPath(name string) string { return fmt.Sprintf("tenant %q", name) }
