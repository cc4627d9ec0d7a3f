// Command standin runs one stand-in for a system beside the router.
package main

import (
	"os"

	"persimmoncross/internal/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:])) }
