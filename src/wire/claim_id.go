package wire

import "fmt"

// String returns the holder and sequence in hexadecimal.
func (id ClaimID) String() string {
	return fmt.Sprintf("%016x-%x", id.Holder, id.Sequence)
}
