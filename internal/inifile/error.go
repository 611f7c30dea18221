package inifile

import "fmt"

// Error is one fault in a settings file or document. It prints as one line.
type Error struct {
	// File names the file or document.
	File string
	// Section is the section's full name, empty for a fault of the whole file.
	Section string
	// Key is the key's name, empty for a fault of the whole section.
	Key string
	// Given says what stood there.
	Given string
	// Want says what is allowed.
	Want string
}

// Error returns the fault as one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s%s, want %s", e.File, e.place(), e.Given, e.Want)
}

func (e *Error) place() string {
	if e.Section == "" {
		return ""
	}
	if e.Key == "" {
		return fmt.Sprintf("[%s]: ", e.Section)
	}
	return fmt.Sprintf("[%s] %s: ", e.Section, e.Key)
}
