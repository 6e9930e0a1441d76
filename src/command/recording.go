package command

import (
	"fmt"
	"os"

	"github.com/yuccaport/yuccaport/src/trace"
)

// recording holds the trace files of one run, a file for each core.
type recording struct {
	prefix   string
	maxBytes int64
	files    []*os.File
}

// open returns the recorder of a core, nil when its file cannot be made.
func (r *recording) open(core string) *trace.Recorder {
	name := fmt.Sprintf("%s.%s.jsonl", r.prefix, core)
	f, err := os.Create(name)
	if err != nil {
		fmt.Fprintf(os.Stderr, "yuccaport: %s is not recorded: %v; name a directory that can be written\n", core, err)
		return nil
	}
	r.files = append(r.files, f)
	return &trace.Recorder{W: f, Header: trace.Header{Core: core, Title: "recorded run"}, MaxBytes: r.maxBytes}
}

func (r *recording) close() {
	for _, f := range r.files {
		_ = f.Close()
	}
}
