package booking

import (
	"context"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a backend server that counts as up, or as another instance, by a health answer that
// it broke off.
func TestCutHealthAnswer(t *testing.T) {
	tests := map[string]string{
		"with a body":    "Content-Length: 2\r\n\r\nok",
		"without a body": "Content-Length: 0\r\n\r\n",
		"in chunks":      "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	}
	for name, rest := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			answer := "HTTP/1.1 200 OK\r\nX-Instance: i-12345\r\n" + rest
			var size atomic.Int64
			s := (&scriptedBackend{closes: true, answer: func(int, int, string) string { return answer[:size.Load()] }}).start(c)
			for n := range len(answer) + 1 {
				size.Store(int64(n))
				state, instance := s.CheckHealth(context.Background())
				isWhole := n == len(answer)
				c.Check(state == HealthUp, qt.Equals, isWhole, qt.Commentf("%q", answer[:n]))
				c.Check(instance == "i-12345", qt.Equals, isWhole, qt.Commentf("%q", answer[:n]))
				c.Check(instance == "" || isWhole, qt.IsTrue)
			}
		})
	}
}
