package quarantine

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
)

const (
	claimTTL     = 10 * time.Minute // the longest lease that the users' platform grants; daemons remember the probes of a request for longer
	claimTimeout = time.Second
)

// Claimer grants each probe of a request to one daemon.
type Claimer interface {
	// Claim reports whether this daemon may make a probe. After an error, which is that of the
	// store, the probe may be claimed all the same, and nobody makes it.
	Claim(ctx context.Context, content uint64, number int) (bool, error)
}

func claimKey(prefix string, content uint64, number int) string {
	return prefix + FormatContent(content) + "/" + strconv.Itoa(number)
}

func isGranted(err error) (bool, error) {
	if errors.Is(err, problem.Conflict) {
		return false, nil
	}
	return err == nil, err
}
