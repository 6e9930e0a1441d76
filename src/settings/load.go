package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/yuccaport/yuccaport/src/problem"
)

// Load reads and checks a settings file; an error is of kind problem.Settings and names the place and the remedy.
func Load(file string) (Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, problem.Wrap(problem.Settings, err, file, "cannot be read", "name a settings file such as those in examples/")
	}
	return Parse(file, b)
}

// Parse reads and checks settings; file is the name that errors show.
func Parse(file string, b []byte) (Settings, error) {
	s := Default()
	if err := Decode(file, b, &s); err != nil {
		return Settings{}, err
	}
	return s, Check(file, &s)
}

// Decode reads a settings file into v; an error of kind problem.Settings names the line and key that cannot be used.
func Decode(file string, b []byte, v any) error {
	d := toml.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return decodeProblem(file, b, err)
	}
	return nil
}

func decodeProblem(file string, b []byte, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		e := strict.Errors[0]
		row, _ := e.Position()
		return problem.New(problem.Settings, fmt.Sprintf("%s:%d", file, row),
			fmt.Sprintf("unknown key %q", strings.Join(e.Key(), ".")), "remove it, or see docs/SETTINGS.md for the keys")
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		row, _ := de.Position()
		return problem.Wrap(problem.Settings, err, fmt.Sprintf("%s:%d", file, row),
			fmt.Sprintf("key %q has no usable value", keyAt(b, row, de.Key())), "see docs/SETTINGS.md for its type")
	}
	return problem.Wrap(problem.Settings, err, file, "not TOML", "see docs/SETTINGS.md")
}

// keyAt returns the key that a line sets; a value that its type refuses comes without one.
func keyAt(b []byte, row int, key toml.Key) string {
	if lines := strings.Split(string(b), "\n"); len(key) == 0 && row >= 1 && row <= len(lines) {
		name, _, _ := strings.Cut(lines[row-1], "=")
		return strings.TrimSpace(name)
	}
	return strings.Join(key, ".")
}
