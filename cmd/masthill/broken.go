//go:build broken

package main

import "os"

// without names a guard that is left out, to show that the lab's checkers notice.
var omittedCheck = os.Getenv("MASTHILL_WITHOUT")
