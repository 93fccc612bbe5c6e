// Command wirehost runs instances of the decision module behind the simulator's wire protocol on standard
// input and output. It only translates and makes no decisions.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// run answers frames until the end of input.
func run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriter(out)
	h := newHost()
	for n := 0; ; n++ {
		done, err := h.handleFrame(r, w)
		if done {
			return nil
		}
		if err != nil {
			return fmt.Errorf("frame %d: %w", n, err)
		}
	}
}
