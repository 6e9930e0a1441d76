package tenants

import "bytes"

const scheme = "Bearer"

// keyOf returns the key in a value of the header field Authorization: the scheme in any case, one or
// more spaces (RFC 9110, 11.4) and the key. It returns false for every other form.
func keyOf(value []byte) ([]byte, bool) {
	value = bytes.Trim(value, " \t")
	if len(value) <= len(scheme) || value[len(scheme)] != ' ' || !bytes.EqualFold(value[:len(scheme)], []byte(scheme)) {
		return nil, false
	}
	key := bytes.TrimLeft(value[len(scheme):], " ")
	return key, isToken(key)
}
