package quarantine

import (
	"context"

	"github.com/yuccaport/yuccaport/src/registry"
)

// RegistryClaimer is a Claimer on the store of the users' platform. Its fields are set before the
// first use.
type RegistryClaimer struct {
	Store  registry.Store
	Prefix string // of the keys of claims
}

// Claim implements Claimer.
func (c *RegistryClaimer) Claim(ctx context.Context, content uint64, number int) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	lease, err := c.Store.GrantLease(ctx, claimTTL)
	if err != nil {
		return false, err
	}
	key := claimKey(c.Prefix, content, number)
	_, err = c.Store.Commit(ctx, registry.Transaction{
		Preconditions: []registry.Precondition{{Key: key, Revision: 0}},
		Writes:        []registry.Write{{Key: key, Value: []byte{}, Lease: lease}},
	})
	return isGranted(err)
}
