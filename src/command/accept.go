package command

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/yuccaport/yuccaport/src/ledger"
)

const (
	acceptWithin  = 10 * time.Second // for an acceptance: a store that answers takes milliseconds, and a restart of it seconds
	progressEvery = 2 * time.Second  // long enough that a usual edit prints nothing
)

// accept hands an edit in and gives up at the deadline; the error then tells whether the edit may have been accepted.
func accept(ctx context.Context, cmd *cli.Command, hand func(context.Context) (ledger.Result, error)) (ledger.Result, error) {
	limit := cmd.Duration("deadline")
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if isTerminal(os.Stderr) {
		done := make(chan struct{})
		defer close(done)
		go progress(os.Stderr, time.Now(), limit, done)
	}
	return hand(ctx)
}

// progress tells now and then that the store has not answered yet.
func progress(w io.Writer, start time.Time, limit time.Duration, done <-chan struct{}) {
	t := time.NewTicker(progressEvery)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			_, _ = io.WriteString(w, "waiting for the store: "+time.Since(start).Round(time.Second).String()+" of "+limit.String()+"\n") // only a notice
		}
	}
}

func isTerminal(f *os.File) bool {
	s, err := f.Stat()
	return err == nil && s.Mode()&os.ModeCharDevice != 0
}
