// Command soak runs the programs under faults drawn from seeds and checks what the
// router promises, from outside.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"persimmoncross/platform/soak"
)

func main() { os.Exit(run()) }

func run() int {
	seed, seeds, length, binary, quiet := uint64(1), 1, 30*time.Second, "target/persimmoncross", false
	flaggy.SetName("soak")
	flaggy.SetDescription("Run the programs under faults and check what the router promises.")
	flaggy.UInt64(&seed, "s", "seed", "the first seed")
	flaggy.Int(&seeds, "n", "seeds", "how many seeds, one after the other")
	flaggy.Duration(&length, "l", "length", "how long the faults of one seed last")
	flaggy.String(&binary, "b", "binary", "the program")
	flaggy.Bool(&quiet, "q", "quiet", "only results")
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	out := io.Writer(os.Stdout)
	if quiet {
		out = io.Discard
	}
	failed := 0
	for n := range seeds {
		if !runSeed(ctx, seed+uint64(n), length, binary, out) {
			failed++
		}
	}
	fmt.Printf("%d seeds, %d with a broken promise\n", seeds, failed)
	if failed > 0 {
		return 1
	}
	return 0
}

// runSeed runs one seed; the folder of one that failed is kept.
func runSeed(ctx context.Context, seed uint64, length time.Duration, binary string, out io.Writer) bool {
	folder, err := os.MkdirTemp("", "soak-")
	if err != nil {
		fmt.Println(err)
		return false
	}
	s := &soak.Soak{
		Seed:   seed,
		Length: length,
		Binary: binary,
		Folder: folder,
		Out:    out,
	}
	result, err := s.Run(ctx)
	if err != nil {
		fmt.Printf("seed %d: %v (%s)\n", seed, err, folder)
		return false
	}
	fmt.Printf("seed %d: %v\n", seed, result.Counts)
	if len(result.Broken) > 0 {
		for _, b := range result.Broken {
			fmt.Println("  BROKEN", b)
		}
		fmt.Println("  logs in", folder)
		return false
	}
	os.RemoveAll(folder)
	return true
}
