//go:build broken

package main

import "os"

// omittedCheck names one check to leave out, to test that the lab's checkers notice.
var omittedCheck = os.Getenv("MASTHILL_WITHOUT")
