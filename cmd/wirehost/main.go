// Command wirehost runs the controllers of many fronts on the simulator's wire.
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
