package ledger

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// HashToken returns the hexadecimal SHA-256 of a team's token, which the head holds instead of the token; "" for no token.
func HashToken(token string) string {
	if token == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// authorize returns an error of kind problem.Denied when the service has a token and it is not the given one.
func authorize(s wire.HeadService, token string) error {
	if s.TokenHash == "" {
		return nil
	}
	if subtle.ConstantTimeCompare([]byte(s.TokenHash), []byte(HashToken(token))) == 1 {
		return nil
	}
	return problem.New(problem.Denied, "service "+s.Name, "the token is not that of the owning team", "use the token of the team that owns the service")
}
