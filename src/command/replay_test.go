package command

import (
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRecordedTracesReplayAsStated(t *testing.T) {
	files, err := filepath.Glob("../../testdata/traces/*.jsonl")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			_, err := replayFile(file)
			qt.Assert(t, err, qt.IsNil)
		})
	}
}
