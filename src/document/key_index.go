package document

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyIndex maps the path of each key in a file, such as route[1].retry.attempts, to its line. Paths are in lower case, since the decoder ignores the case of keys. It also holds each table of an array, such as route[1]; route itself has the line of the last one.
type keyIndex map[string]int

// indexKeys indexes the keys of a file, which must be valid TOML.
func indexKeys(data []byte) keyIndex {
	keys := keyIndex{}
	parser := unstable.Parser{}
	parser.Reset(data)
	tableCounts := map[string]int{} // tables read so far of each array of tables, by its path
	tablePath := ""
	for parser.NextExpression() {
		expr := parser.Expression()
		switch expr.Kind {
		case unstable.Table:
			tablePath = keys.addKey(data, expr, tableCounts, "")
		case unstable.ArrayTable:
			keyPath := keys.addKey(data, expr, tableCounts, "")
			tablePath = fmt.Sprintf("%s[%d]", keyPath, tableCounts[keyPath])
			tableCounts[keyPath]++
			keys[tablePath] = keys[keyPath]
		case unstable.KeyValue:
			keys.addValue(data, expr.Value(), keys.addKey(data, expr, tableCounts, tablePath))
		}
	}
	return keys
}

// addKey adds each part of a node's dotted key to the index and returns the path of the whole key. The parentPath is empty for headers of tables and for top-level keys.
func (k keyIndex) addKey(data []byte, n *unstable.Node, tableCounts map[string]int, parentPath string) string {
	keyPath := parentPath
	for part := n.Key(); part.Next(); {
		// A header such as [route.hedge] belongs to the last table of the array.
		if tables := tableCounts[keyPath]; tables > 0 && parentPath == "" {
			keyPath = fmt.Sprintf("%s[%d]", keyPath, tables-1)
		}
		if keyPath != "" {
			keyPath += "."
		}
		keyPath += strings.ToLower(string(part.Node().Data))
		k[keyPath] = lineAt(data, part.Node().Raw.Offset)
	}
	return keyPath
}

// addValue adds the keys inside an array or inline table.
func (k keyIndex) addValue(data []byte, n *unstable.Node, keyPath string) {
	switch n.Kind {
	case unstable.Array:
		i := 0
		for child := n.Children(); child.Next(); i++ {
			k.addValue(data, child.Node(), fmt.Sprintf("%s[%d]", keyPath, i))
		}
	case unstable.InlineTable:
		for child := n.Children(); child.Next(); {
			kv := child.Node()
			k.addValue(data, kv.Value(), k.addKey(data, kv, nil, keyPath))
		}
	}
}

// has reports whether the file contains the key.
func (k keyIndex) has(keyPath string) bool {
	_, ok := k[keyPath]
	return ok
}

// lineOf returns the line of a key, or of the nearest enclosing key in the file; 1 if there is none.
func (k keyIndex) lineOf(keyPath string) int {
	for keyPath != "" {
		if n, ok := k[keyPath]; ok {
			return n
		}
		keyPath = keyPath[:max(strings.LastIndexAny(keyPath, ".["), 0)]
	}
	return 1
}

func lineAt(data []byte, offset uint32) int {
	return bytes.Count(data[:offset], []byte("\n")) + 1
}
