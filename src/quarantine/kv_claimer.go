package quarantine

import (
	"context"
	"math/rand/v2"
	"strconv"

	"github.com/yuccaport/yuccaport/src/kv"
)

// KVClaimer is a Claimer on a plain key-value service. Its fields are set before the first use.
type KVClaimer struct {
	Store  kv.Store
	Prefix string // of the keys of claims
}

// Claim implements Claimer.
func (c *KVClaimer) Claim(ctx context.Context, content uint64, number int) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	holder := strconv.FormatUint(rand.Uint64(), 16) // one of its own for each claim, since a holder may be granted its lease again
	_, err := c.Store.Grant(ctx, claimKey(c.Prefix, content, number), holder, claimTTL)
	return isGranted(err)
}
