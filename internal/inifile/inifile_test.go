package inifile

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestFormatSizeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.Int64Min(0).Draw(t, "bytes")
		got, valid := ParseSize(FormatSize(n))
		if !valid || got != n {
			t.Fatalf("%d formatted as %q, parsed as %d", n, FormatSize(n), got)
		}
	})
}

func TestFormatDurationRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64Min(0).Draw(t, "nanoseconds"))
		got, err := time.ParseDuration(FormatDuration(d))
		if err != nil || got != d {
			t.Fatalf("%v formatted as %q, parsed as %v", d, FormatDuration(d), got)
		}
	})
}

func TestParseSize(t *testing.T) {
	tests := []struct {
		text  string
		want  int64
		valid bool
	}{
		{"8MiB", 8 << 20, true},
		{"8 MiB", 8 << 20, true},
		{"0B", 0, true},
		{"8", 0, false},
		{"8MB", 0, false},
		{"-1KiB", 0, false},
		{"1.5GiB", 0, false},
		{"8388608TiB", 0, false}, // 1<<63 bytes, one more than an int64 holds
		{"MiB", 0, false},
		{"", 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			got, valid := ParseSize(tt.text)
			assert.Equal(t, tt.valid, valid)
			assert.Equal(t, tt.want, got)
		})
	}
}

func TestFormatDuration(t *testing.T) {
	tests := []struct {
		d    time.Duration
		want string
	}{
		{0, "0s"},
		{10 * time.Minute, "10m"},
		{time.Hour, "1h"},
		{time.Hour + 10*time.Minute, "1h10m"},
		{time.Hour + 5*time.Second, "1h0m5s"},
		{500 * time.Millisecond, "500ms"},
	}
	for _, tt := range tests {
		t.Run(tt.want, func(t *testing.T) {
			assert.Equal(t, tt.want, FormatDuration(tt.d))
		})
	}
}

func TestKind(t *testing.T) {
	tests := []struct {
		section string
		kind    string
		label   string
	}{
		{`[profile "chat"]`, "profile", "chat"},
		{`[profile   "chat"]`, "profile", "chat"},
		{`[caller]`, "caller", ""},
		{`[profile chat]`, "profile chat", ""},
		{`[profile "]`, `profile "`, ""},
		{`[profile ""]`, "profile", ""},
	}
	for _, tt := range tests {
		t.Run(tt.section, func(t *testing.T) {
			f, err := Parse("f", []byte(tt.section+"\na = 1\n"))
			require.NoError(t, err)
			kind, label := f.Sections()[0].Kind()
			assert.Equal(t, tt.kind, kind)
			assert.Equal(t, tt.label, label)
		})
	}
}

func TestDecodeFields(t *testing.T) {
	var name, address string
	var list []string
	var count int
	var share float64
	fields := []Field{
		Name("name", &name), HostPort("address", &address), Names("list", &list, nil),
		Count("count", &count, 1, 9), Share("share", &share),
	}
	tests := []struct {
		text string
		want string // empty: no error
	}{
		{"name = a.b-c_1\naddress = host:1\nlist = a, b\ncount = 9\nshare = 0.5", ""},
		{"list =", ""},
		{"name = a b", "name: got \"a b\", want " + wantName},
		{"address = host", "address: got \"host\", want " + wantHostPort},
		{"address = host:0", "address: got \"host:0\", want " + wantHostPort},
		{"address = :1", "address: got \":1\", want " + wantHostPort},
		{"list = a, a", "list: got \"a, a\", want " + wantNames},
		{"list = a,", "list: got \"a,\", want " + wantNames},
		{"count = 0", "count: got \"0\", want a whole number from 1 to 9"},
		{"count = 1e1", "count: got \"1e1\", want a whole number from 1 to 9"},
		{"share = -0.1", "share: got \"-0.1\", want a share from 0 to 1"},
		{"count = %(share)s", "count: got \"%(share)s\", want a whole number from 1 to 9"},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			f, err := Parse("f", []byte("[s]\n"+tt.text+"\n"))
			require.NoError(t, err)
			err = f.Sections()[0].Decode(fields)
			if tt.want == "" {
				require.NoError(t, err)
				return
			}
			require.EqualError(t, err, "f: [s] "+tt.want)
		})
	}
}
