// Command wirehost runs the controllers of many instances for a simulator, which it talks to by the line protocol of
// package wire on its standard input and output.
package main

import (
	"fmt"
	"os"

	"masthill/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
