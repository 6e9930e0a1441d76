package booking

import (
	"crypto/rand"
	"sync"
)

// parentTokens maps tokens to calls in flight, so that a call made by a backend server can be linked to its parent.
type parentTokens struct {
	mu      sync.Mutex
	parents map[string]Parent
}

// issue returns a random token, under which lookup returns p until the token is revoked.
func (t *parentTokens) issue(p Parent) string {
	token := rand.Text()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.parents == nil {
		t.parents = map[string]Parent{}
	}
	t.parents[token] = p
	return token
}

func (t *parentTokens) revoke(token string) {
	if token == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.parents, token)
}

func (t *parentTokens) lookup(token string) (Parent, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.parents[token]
	return p, ok
}
