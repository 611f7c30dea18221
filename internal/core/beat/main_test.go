package beat

import (
	"testing"

	"github.com/chiveramp/chiveramp/internal/core/coretest"
)

func TestMain(m *testing.M) {
	coretest.Main(m)
}
