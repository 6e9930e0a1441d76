package roster

import (
	"os"
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	if os.Getenv("TRIAL") == "" {
		t.Skip()
	}
	for _, size := range []int{48, 200, 400} {
		n := newNetwork(1)
		for i := range size {
			n.start(1000+i, i%7, true)
		}
		d := n.settle(90 * time.Second)
		t.Log(size, "settled", d, n.disagreement(), "bytes", n.bytes/size)
		for range 6 {
			n.bytes = 0
			n.run(10 * time.Second)
			t.Log("  B/s", n.bytes/size/10, n.disagreement())
		}
		n.bytes = 0
		for i := range size * 3 / 10 {
			n.hosts[i].up = false
		}
		d = n.settle(90 * time.Second)
		t.Log(size, "30% died", d, n.disagreement(), "bytes", n.bytes/size)
		n.bytes = 0
		for i := range size * 3 / 10 {
			n.start(3000+i, i%7, true)
		}
		d = n.settle(90 * time.Second)
		t.Log(size, "30% back", d, n.disagreement(), "bytes", n.bytes/size)
	}
}
