//go:build proofs

package switches

import (
	"os"
	"slices"
	"strings"
)

// Off reports whether a mechanism is named in the variable CHIVERAMP_OFF, a comma list.
func Off(m Mechanism) bool {
	return slices.Contains(strings.Split(os.Getenv("CHIVERAMP_OFF"), ","), string(m))
}
