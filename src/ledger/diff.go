package ledger

import "strings"

const maxDiffLines = 2000 // a longer differing part is shown as replaced completely

// Diff returns the lines that differ between two documents, with - before those removed and + before those added.
func Diff(before, after []byte) string {
	a, b := splitLines(before), splitLines(after)
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	var w strings.Builder
	if len(a) > maxDiffLines || len(b) > maxDiffLines {
		writeLines(&w, "-", a)
		writeLines(&w, "+", b)
		return w.String()
	}
	common := commonLengths(a, b)
	i, j := 0, 0
	for i < len(a) && j < len(b) {
		switch {
		case a[i] == b[j]:
			i++
			j++
		case common[i+1][j] >= common[i][j+1]:
			writeLines(&w, "-", a[i:i+1])
			i++
		default:
			writeLines(&w, "+", b[j:j+1])
			j++
		}
	}
	writeLines(&w, "-", a[i:])
	writeLines(&w, "+", b[j:])
	return w.String()
}

// commonLengths returns the lengths of the longest common subsequences: element [i][j] is that of a[i:] and b[j:].
func commonLengths(a, b []string) [][]int {
	lengths := make([][]int, len(a)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			} else {
				lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			}
		}
	}
	return lengths
}

func splitLines(b []byte) []string {
	s := strings.TrimSuffix(string(b), "\n")
	if s == "" {
		return nil
	}
	return strings.Split(s, "\n")
}

func writeLines(w *strings.Builder, sign string, lines []string) {
	for _, l := range lines {
		w.WriteString(sign + " " + l + "\n")
	}
}
