//go:build !broken

package main

// without names a guard that is left out: none, but in the lab's deliberately broken builds.
const omittedCheck = ""
