package inifile

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Error is one fault in a settings file or document. It prints as one line.
type Error struct {
	// File names the file or document.
	File string
	// Section is the section's full name, empty for a fault of the whole file.
	Section string
	// Key is the key's name, empty for a fault of the whole section.
	Key string
	// Got says what stood there.
	Got string
	// Want says what is allowed.
	Want string
}

// Error returns the fault as one line.
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

// printable keeps text from a broken file from moving the cursor or ending the line.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r == utf8.RuneError || !unicode.IsPrint(r) {
			return '?'
		}
		return r
	}, text)
}
