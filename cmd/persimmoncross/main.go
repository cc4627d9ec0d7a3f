// Command persimmoncross is the router and its operators' command line.
package main

import (
	"os"

	"persimmoncross/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
