package inifile

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Error is a problem in a settings file or document, printed as one line.
type Error struct {
	// File names the file or document.
	File string
	// Section is the section's full name, empty for a problem of the whole file.
	Section string
	// Key is the key's name, empty for a problem of the whole section.
	Key string
	// Got describes what was found.
	Got string
	// Want describes what is allowed.
	Want string
}

// Error returns the file, section and key with what was found and what is allowed.
func (e *Error) Error() string {
	return printable(fmt.Sprintf("%s: %s%s, want %s", e.File, e.location(), e.Got, e.Want))
}

func (e *Error) location() string {
	if e.Section == "" {
		return ""
	}
	if e.Key == "" {
		return fmt.Sprintf("[%s]: ", e.Section)
	}
	return fmt.Sprintf("[%s] %s: ", e.Section, e.Key)
}

// printable replaces unprintable characters, so that text from a broken file can't
// move the terminal's cursor or end the line.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r == utf8.RuneError || !unicode.IsPrint(r) {
			return '?'
		}
		return r
	}, text)
}
