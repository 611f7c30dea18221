package slopes

import (
	"context"
	"fmt"
	"strings"

	"github.com/chiveramp/chiveramp/internal/document"
	"github.com/chiveramp/chiveramp/internal/platform/platformtest"
	"github.com/chiveramp/chiveramp/pkg/profile"
)

// documentText returns a document with a section for each model and a profile for every
// tenth model.
func documentText(models int) string {
	var b strings.Builder
	for i := range models {
		if i%10 == 0 {
			fmt.Fprintf(&b, "[profile \"service-%d\"]\nclass = chat\nrank = standard\nfirst = 470ms\ngap = 61ms\ndeadline = 30s\nmodels = model-%d*\nretries = 2\n\n", i, i)
		}
		fmt.Fprintf(&b, "[model \"model-%d\"]\nbytes = %dGiB\nadapter = 128MiB\ncache = 4GiB\nservice = runners\ncopies = 2\nadapters = 4\n\n", i, 7+i%11)
	}
	return b.String()
}

// Documents measures the cost of one change of the profile document.
func Documents(r *Report) error {
	text := Series{Name: "document bytes", By: "models", Unit: "B"}
	packed := Series{Name: "document packed bytes", By: "models", Unit: "B"}
	delta := Series{Name: "document delta bytes", By: "models", Unit: "B"}
	cpu := Series{Name: "document delta cpu", By: "models", Unit: "ns"}
	parse := Series{Name: "document parse cpu", By: "models", Unit: "ns"}
	memory := Series{Name: "document memory", By: "models", Unit: "B"}
	for _, n := range []int{34, 190, 380, 760} {
		size := float64(n)
		old := documentText(n)
		changed := strings.Replace(old, "first = 470ms", "first = 480ms", 1)
		packedSize, deltaSize, cost, err := measureChange(old, changed)
		if err != nil {
			return fmt.Errorf("change document of %d models: %w", n, err)
		}
		if _, err := profile.Parse("slopes", []byte(old)); err != nil {
			return fmt.Errorf("parse document of %d models: %w", n, err)
		}
		text.Points = append(text.Points, Point{size, float64(len(old))})
		packed.Points = append(packed.Points, Point{size, float64(packedSize)})
		delta.Points = append(delta.Points, Point{size, float64(deltaSize)})
		cpu.Points = append(cpu.Points, Point{size, cost})
		parse.Points = append(parse.Points, Point{size, cpuOf(func() { _, _ = profile.Parse("slopes", []byte(old)) })})
		memory.Points = append(memory.Points, Point{size, memoryOf(func() []any {
			parsed, _ := profile.Parse("slopes", []byte(old))
			return []any{parsed, []byte(old), []byte(changed)}
		})})
	}
	for _, s := range []Series{text, packed, delta, cpu, parse, memory} {
		r.Add(s)
	}
	return nil
}

// measureChange applies an edit and returns the encoded sizes of the complete document and of
// the delta, and the CPU time of applying the delta.
func measureChange(old, changed string) (packedSize, deltaSize int, cpu float64, err error) {
	ctx := context.Background()
	source, sink := document.New(platformtest.New()), document.New(platformtest.New())
	for rev, text := range []string{old, changed} {
		if _, err := source.Apply(ctx, uint64(rev), []byte(text)); err != nil {
			return 0, 0, 0, err
		}
	}
	if _, err := sink.Apply(ctx, 0, []byte(old)); err != nil {
		return 0, 0, 0, err
	}
	full, err := source.Pack(0)
	if err != nil {
		return 0, 0, 0, err
	}
	delta, err := source.Pack(1)
	if err != nil {
		return 0, 0, 0, err
	}
	if _, err := sink.Unpack(delta); err != nil {
		return 0, 0, 0, err
	}
	return len(full), len(delta), cpuOf(func() { _, _ = sink.Unpack(delta) }), nil
}
