package document

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyIndex maps the path of each key in a file, such as route[1].retry.attempts, to its line.
type keyIndex map[string]int

// indexKeys indexes the keys of a file, which must be valid TOML.
func indexKeys(data []byte) keyIndex {
	keys := keyIndex{}
	parser := unstable.Parser{}
	parser.Reset(data)
	tableCounts := map[string]int{} // tables read so far of each array of tables, by its path
	table := ""
	for parser.NextExpression() {
		expr := parser.Expression()
		switch expr.Kind {
		case unstable.Table:
			table = keys.addKey(data, expr, tableCounts, "")
		case unstable.ArrayTable:
			path := keys.addKey(data, expr, tableCounts, "")
			table = fmt.Sprintf("%s[%d]", path, tableCounts[path])
			tableCounts[path]++
			keys[table] = keys[path]
		case unstable.KeyValue:
			keys.addValue(data, expr.Value(), keys.addKey(data, expr, tableCounts, table))
		}
	}
	return keys
}

// addKey adds the key of a node to the index and returns its path, which begins with that of the parent.
func (k keyIndex) addKey(data []byte, n *unstable.Node, tableCounts map[string]int, parent string) string {
	path := parent
	for part := n.Key(); part.Next(); {
		if tables := tableCounts[path]; tables > 0 && parent == "" {
			path = fmt.Sprintf("%s[%d]", path, tables-1)
		}
		if path != "" {
			path += "."
		}
		path += strings.ToLower(string(part.Node().Data))
		k[path] = lineAt(data, part.Node().Raw.Offset)
	}
	return path
}

// addValue adds the keys inside an array or inline table.
func (k keyIndex) addValue(data []byte, n *unstable.Node, path string) {
	switch n.Kind {
	case unstable.Array:
		i := 0
		for child := n.Children(); child.Next(); i++ {
			k.addValue(data, child.Node(), fmt.Sprintf("%s[%d]", path, i))
		}
	case unstable.InlineTable:
		for child := n.Children(); child.Next(); {
			kv := child.Node()
			k.addValue(data, kv.Value(), k.addKey(data, kv, nil, path))
		}
	}
}

// has reports whether the file contains the key.
func (k keyIndex) has(path string) bool {
	_, ok := k[path]
	return ok
}

// lineOf returns the line of a key, or of the nearest enclosing key in the file; 1 if there is none.
func (k keyIndex) lineOf(path string) int {
	for path != "" {
		if n, ok := k[path]; ok {
			return n
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}

func lineAt(data []byte, offset uint32) int {
	return bytes.Count(data[:offset], []byte("\n")) + 1
}
