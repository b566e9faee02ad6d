// Package inifile reads INI files strictly. Unknown sections and keys are errors,
// and each error contains the file, section, key, value and the allowed values.
//
// # Usage
//
//	file, err := inifile.Load("entry.ini")
//	sec := file.Section("store")
//	address := sec.Address("address", "")
//	timeout := sec.Duration("timeout", time.Second)
//	err = file.Check()
//
// The getters of a Section return the default if the key is absent, and record the
// first invalid value and the keys that were read. Check returns that error, or an
// error for a section or key of the file that was not read. The results of the
// getters are valid only if Check returns nil.
package inifile

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
	"gopkg.in/ini.v1"
)

// Error is the class of all errors of this package.
var Error = errs.Class("ini")

// FieldError describes an invalid value of a file and the values that are allowed.
// Key is empty if the section itself is unknown.
type FieldError struct {
	File    string
	Section string
	Key     string
	Value   string
	Allowed string
}

// Error returns the description on one line.
func (e *FieldError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "file %s: section [%s]", e.File, e.Section)
	if e.Key != "" {
		fmt.Fprintf(&b, ": key %s", e.Key)
		if e.Value != "" {
			fmt.Fprintf(&b, ": value %q", e.Value)
		}
	}
	fmt.Fprintf(&b, ": allowed: %s", e.Allowed)
	return b.String()
}

// File is a parsed file.
type File struct {
	name     string
	ini      *ini.File
	sections map[string]*Section // sections that the program requested
	err      error               // first invalid value
}

// Section is one section of a file.
type Section struct {
	file *File
	name string
	ini  *ini.Section
	used map[string]bool // keys that the program read
}

// Load reads and parses the file called name.
func Load(name string) (file *File, err error) {
	defer Error.WrapP(&err)
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, data)
}

// Parse parses data. The name appears in errors.
func Parse(name string, data []byte) (file *File, err error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{
		KeyValueDelimiters:      "=",
		IgnoreInlineComment:     true, // values may contain # and ;
		SkipUnrecognizableLines: false,
		// With the default ".", a section [a.b] would inherit the keys of [a].
		ChildSectionDelimiter:      "\x00",
		AllowDuplicateShadowValues: false,
	}, data)
	if err != nil {
		return nil, Error.New("file %s: %v", name, err)
	}
	return &File{name: name, ini: parsed, sections: map[string]*Section{}}, nil
}

// Names returns the names of all sections of the given kind. The header of such a
// section has the form [kind name].
func (f *File) Names(kind string) (names []string) {
	for _, sec := range f.ini.SectionStrings() {
		if rest, ok := strings.CutPrefix(sec, kind+" "); ok {
			names = append(names, strings.TrimSpace(rest))
		}
	}
	return names
}

// Section returns the section called name. If the file does not contain it, all
// its keys are absent.
func (f *File) Section(name string) *Section {
	if sec, ok := f.sections[name]; ok {
		return sec
	}
	sec := &Section{file: f, name: name, used: map[string]bool{}}
	if f.ini.HasSection(name) {
		sec.ini, _ = f.ini.GetSection(name)
	}
	f.sections[name] = sec
	return sec
}

// Check returns the first error that a getter recorded, or an error for the first
// section or key of the file that the program did not read.
func (f *File) Check() (err error) {
	if f.err != nil {
		return Error.Wrap(f.err)
	}
	for _, name := range f.ini.SectionStrings() {
		keys := f.ini.Section(name).KeyStrings()
		sec, known := f.sections[name]
		if !known {
			if name == ini.DefaultSection && len(keys) == 0 {
				continue
			}
			return Error.Wrap(&FieldError{File: f.name, Section: name, Allowed: "sections " + f.sectionNames()})
		}
		for _, key := range keys {
			if !sec.used[key] {
				return Error.Wrap(&FieldError{File: f.name, Section: name, Key: key,
					Value: sec.ini.Key(key).String(), Allowed: "keys " + sec.keyNames()})
			}
		}
	}
	return nil
}

// sectionNames lists the sections that the program requested, for error messages.
func (f *File) sectionNames() string {
	var names []string
	for name := range f.sections {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// keyNames lists the keys that the program read, for error messages.
func (s *Section) keyNames() string {
	var names []string
	for name := range s.used {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// Fail records that the value of key is invalid, unless an error was recorded
// before. The text allowed describes the valid values.
func (s *Section) Fail(key, allowed string) {
	if s.file.err == nil {
		s.file.err = &FieldError{File: s.file.name, Section: s.name, Key: key, Value: s.raw(key), Allowed: allowed}
	}
}

// raw returns the text of key without marking the key as read.
func (s *Section) raw(key string) string {
	if s.ini == nil || !s.ini.HasKey(key) {
		return ""
	}
	return s.ini.Key(key).String()
}

// get returns the text of key and marks the key as read.
func (s *Section) get(key string) (value string, set bool) {
	s.used[key] = true
	if s.ini == nil || !s.ini.HasKey(key) {
		return "", false
	}
	return s.ini.Key(key).String(), true
}

// String returns the value of key.
func (s *Section) String(key, def string) string {
	if value, set := s.get(key); set {
		return value
	}
	return def
}

// Choice returns the value of key, which must be one of the allowed values.
func (s *Section) Choice(key, def string, allowed ...string) string {
	value := s.String(key, def)
	if !slices.Contains(allowed, value) {
		s.Fail(key, "one of "+strings.Join(allowed, ", "))
	}
	return value
}

// Name returns the value of key, which must satisfy ValidName.
func (s *Section) Name(key, def string) string {
	value := s.String(key, def)
	if !ValidName(value) {
		s.Fail(key, NameRule)
	}
	return value
}

// Duration returns the value of key, which must be a positive duration.
func (s *Section) Duration(key string, def time.Duration) time.Duration {
	value, set := s.get(key)
	if !set {
		return def
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		s.Fail(key, "a positive duration such as 500ms or 2s")
		return def
	}
	return d
}

// Int returns the value of key, which must be an integer from low to high.
func (s *Section) Int(key string, def, low, high int64) int64 {
	value, set := s.get(key)
	if !set {
		return def
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < low || n > high {
		s.Fail(key, fmt.Sprintf("a whole number from %d to %d", low, high))
		return def
	}
	return n
}

// Float returns the value of key, which must be a number from low to high. NaN is
// invalid.
func (s *Section) Float(key string, def, low, high float64) float64 {
	value, set := s.get(key)
	if !set {
		return def
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || n < low || n > high || n != n {
		s.Fail(key, fmt.Sprintf("a number from %g to %g", low, high))
		return def
	}
	return n
}

// Bool returns the value of key, which must be true or false.
func (s *Section) Bool(key string, def bool) bool {
	value, set := s.get(key)
	if !set {
		return def
	}
	switch value {
	case "true", "false":
		return value == "true"
	}
	s.Fail(key, "true or false")
	return def
}

// Address returns the value of key, which must be an IP address with a port. A key
// without a value and without a default is an error.
func (s *Section) Address(key, def string) string {
	value := s.String(key, def)
	if value == "" {
		s.Fail(key, "an IP number with a port such as 127.0.0.1:7000 (required)")
		return def
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		s.Fail(key, "an IP number with a port such as 127.0.0.1:7000")
	}
	return value
}

// Addresses returns the value of key, which must be a comma-separated list of IP
// addresses with ports. The list may be empty.
func (s *Section) Addresses(key string) (list []string) {
	value, _ := s.get(key)
	for part := range strings.SplitSeq(value, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(part); err != nil {
			s.Fail(key, "IP numbers with ports, separated by commas")
			return nil
		}
		list = append(list, part)
	}
	return list
}

// NameRule describes the names that ValidName accepts, for error messages.
const NameRule = "1 to 40 of a-z, 0-9 and -, starting with a letter"

// ValidName reports whether name is in lower-case kebab case, as described by
// NameRule.
func ValidName(name string) bool {
	const maxLength = 40
	if name == "" || len(name) > maxLength || name[0] < 'a' || name[0] > 'z' {
		return false
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}
