package standin

// Upload is the answer to a request with a body, as JSON.
type Upload struct {
	Token  string `json:"token"`
	Path   string `json:"path"`
	Length int64  `json:"length"` // bytes received
	XXH3   string `json:"xxh3"`   // hexadecimal digest of the bytes received
}
