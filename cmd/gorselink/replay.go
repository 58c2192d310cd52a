package main

import (
	"errors"
	"fmt"
	"os"

	"gorselink/internal/capture"
)

type replayCommand struct {
	Files []string `arg:"" help:"Capture files, replayed independently."`
}

// Run replays each capture with the Balancer of this version. It stops a capture at the
// first decision that differs and prints it with the preceding input.
func (c *replayCommand) Run(env *environment) error {
	differing := 0
	for _, path := range c.Files {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		events, err := capture.Replay(capture.NewReader(f))
		f.Close()
		var d *capture.Difference
		switch {
		case errors.As(err, &d):
			differing++
			fmt.Fprintf(env.stdout, "%s: event %d, at %v\n  input     %v\n  captured  %v\n  replayed  %v\n", path, d.Index, d.Input.At, &d.Input, d.Captured, d.Replayed)
		case errors.Is(err, capture.ErrTruncated):
			fmt.Fprintf(env.stdout, "%s: %d events, all decisions the same; the file is truncated after them\n", path, events)
		case err != nil:
			return fmt.Errorf("gorselink: replay: %s: event %d: %w", path, events, err)
		default:
			fmt.Fprintf(env.stdout, "%s: %d events, all decisions the same\n", path, events)
		}
	}
	if differing > 0 {
		return exitError{fmt.Errorf("gorselink: replay: %d of %d captures have a decision that differs", differing, len(c.Files)), 1}
	}
	return nil
}
