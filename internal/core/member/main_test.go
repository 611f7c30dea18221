package member

import (
	"testing"

	"github.com/chiveramp/chiveramp/internal/coretest"
)

func TestMain(m *testing.M) {
	coretest.Main(m)
}
