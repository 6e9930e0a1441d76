package document

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// index gives the line on which each key of a file stands, by path such as route[1].retry.attempts.
type index map[string]int

// indexKeys reads the keys of a file that is known to be valid TOML.
func indexKeys(data []byte) index {
	x := index{}
	p := unstable.Parser{}
	p.Reset(data)
	count := map[string]int{} // tables of an array so far, by path
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			table = x.keyPath(data, e, count, "")
		case unstable.ArrayTable:
			path := x.keyPath(data, e, count, "")
			table = fmt.Sprintf("%s[%d]", path, count[path])
			count[path]++
			x[table] = x[path]
		case unstable.KeyValue:
			x.value(data, e.Value(), x.keyPath(data, e, count, table))
		}
	}
	return x
}

// keyPath returns the path of a node's key below a parent and notes its line.
func (x index) keyPath(data []byte, n *unstable.Node, count map[string]int, parent string) string {
	path := parent
	for k := n.Key(); k.Next(); {
		if c := count[path]; c > 0 && parent == "" {
			path = fmt.Sprintf("%s[%d]", path, c-1)
		}
		if path != "" {
			path += "."
		}
		path += strings.ToLower(string(k.Node().Data))
		x[path] = lineAt(data, k.Node().Raw.Offset)
	}
	return path
}

// value notes the keys inside an inline value.
func (x index) value(data []byte, n *unstable.Node, path string) {
	switch n.Kind {
	case unstable.Array:
		i := 0
		for c := n.Children(); c.Next(); i++ {
			x.value(data, c.Node(), fmt.Sprintf("%s[%d]", path, i))
		}
	case unstable.InlineTable:
		for c := n.Children(); c.Next(); {
			kv := c.Node()
			x.value(data, kv.Value(), x.keyPath(data, kv, nil, path))
		}
	}
}

// has tells whether the file writes the key.
func (x index) has(path string) bool {
	_, ok := x[path]
	return ok
}

// line returns the line of a key, or of the nearest one around it; 1 when there is none.
func (x index) line(path string) int {
	for path != "" {
		if n, ok := x[path]; ok {
			return n
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}

func lineAt(data []byte, offset uint32) int {
	return bytes.Count(data[:offset], []byte("\n")) + 1
}
