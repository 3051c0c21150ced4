// Package fixedseed gives property tests the same seed in every run, so that the test command
// has the same verdict each time. A test imports it for its side effect; the flag -rapid.seed
// still chooses another seed.
package fixedseed

import (
	"flag"

	// Registers the flags that init sets.
	_ "pgregory.net/rapid"
)

// Seed is the seed of all property tests.
const Seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", Seed); err != nil {
		panic(err)
	}
	// A failure is reproduced by its seed, so that no failure files are written.
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
}
