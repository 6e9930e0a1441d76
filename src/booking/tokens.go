package booking

import (
	"crypto/rand"
	"sync"
)

// tokens joins the calls that a backend server makes to the call it is running.
type tokens struct {
	mu     sync.Mutex
	parent map[string]Parent
}

// issue returns a token that is valid until it is revoked.
func (t *tokens) issue(p Parent) string {
	token := rand.Text()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.parent == nil {
		t.parent = map[string]Parent{}
	}
	t.parent[token] = p
	return token
}

func (t *tokens) revoke(token string) {
	if token == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.parent, token)
}

func (t *tokens) find(token string) (Parent, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.parent[token]
	return p, ok
}
