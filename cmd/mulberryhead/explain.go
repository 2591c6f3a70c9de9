package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"mulberryhead.org/mulberryhead/internal/explain"
)

type explainCommand struct {
	Request string `long:"request" description:"id of the request; without it, how all requests ended"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" description:"log files of any number of instances; standard input without one"`
	} `positional-args:"yes"`
}

// Execute prints the timeline of one request, or a summary of how all requests
// ended.
func (c *explainCommand) Execute([]string) (err error) {
	input := io.Reader(os.Stdin)
	if len(c.Args.Files) > 0 {
		readers := make([]io.Reader, 0, len(c.Args.Files))
		for _, name := range c.Args.Files {
			file, openErr := os.Open(name)
			if openErr != nil {
				return fmt.Errorf("explain: %w", openErr)
			}
			defer func() { err = errors.Join(err, file.Close()) }()
			readers = append(readers, file)
		}
		input = io.MultiReader(readers...)
	}
	log, err := explain.Read(input)
	if err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	if c.Request == "" {
		fmt.Print(log.Summary())
		return nil
	}
	fmt.Print(log.Timeline(c.Request))
	return nil
}
