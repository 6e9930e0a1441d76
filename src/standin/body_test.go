package standin_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/standin"
)

func TestBodyNamesItsRequest(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{0, 64, 5000} {
		a := standin.Body("GET", "/p", "t1", size)
		c.Check(a, qt.DeepEquals, standin.Body("GET", "/p", "t1", size))
		c.Check(bytes.Equal(a, standin.Body("GET", "/p", "t2", size)), qt.IsFalse)
		c.Check(bytes.Equal(a, standin.Body("GET", "/q", "t1", size)), qt.IsFalse)
		if size > 0 {
			c.Check(a, qt.HasLen, size)
		}
	}
	long := standin.Body("GET", "/p", "t1", 5000)
	c.Check(bytes.Equal(long[4000:], standin.Body("GET", "/p", "t2", 5000)[4000:]), qt.IsFalse)
}
