// Package fixedseed gives property tests the same seed in every run, so that their results are
// reproducible. Tests import it for its side effect; the flag -rapid.seed still overrides the seed.
package fixedseed

import (
	"flag"

	// Registers the flags that init sets.
	_ "pgregory.net/rapid"
)

// Seed is the default seed of all property tests.
const Seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", Seed); err != nil {
		panic(err)
	}
	// Failure files aren't needed, since the seed reproduces a failure.
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
}
