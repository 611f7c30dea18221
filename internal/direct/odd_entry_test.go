package direct

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// Instances end, or stop following the list, because another writer left odd entries in it.
func TestOddEntriesDoNotStopTheWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		defer f.close()
		write := func(id string) { f.store.Set(platform.EntryPrefix+id, standin.EntryText(id, "board", "a")) }
		odd := func(kind string) {
			for name, text := range standin.OddEntries() {
				f.store.Set(platform.EntryPrefix+kind+name, text)
			}
		}
		for i := range 100 {
			write(fmt.Sprint("good-", i))
		}
		odd("listed ")
		time.Sleep(5 * time.Second)
		odd("watched ")
		for _, text := range standin.OddEntries() { // in place of a good one
			f.store.Set(platform.EntryPrefix+"good-7", text)
		}
		f.store.Set("chiveramp/instances/odd", standin.OddEntries()["nested deeply"])
		write("later")
		time.Sleep(5 * time.Second)
		f.store.Compact()
		write("last")
		time.Sleep(5 * time.Second)
		for _, n := range f.nodes {
			assert.Len(t, n.state.cleanUp(), 102, n.config.Instance.Name)
			for _, id := range []fleet.Endpoint{"good-0", "good-7", "good-99", "later", "last"} {
				assert.True(t, n.state.usable(id), id)
			}
		}
	})
}
