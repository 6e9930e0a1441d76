package link

import (
	"bytes"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestCallBodySizes(t *testing.T) {
	to, _ := startPool(t, &Pool{Self: 2, Calls: callHandlerFunc(echo)})
	p := startClient(t)
	for _, size := range []int{0, 1, maxUrgentPayload, maxUrgentPayload + 1, initialWindow, initialWindow + 1, maxWindow * 4} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			body := bytes.Repeat([]byte("0123456789abcdef!"), size/17+1)[:size]
			got, out, err := call(testContext(t), p, to, body)
			qt.Assert(t, err, qt.IsNil, qt.Commentf("%+v", out))
			qt.Assert(t, bytes.Equal(got, body), qt.IsTrue, qt.Commentf("%d bytes", len(got)))
		})
	}
	qt.Assert(t, p.memoryBudget.used.Load(), qt.Equals, int64(0))
}
