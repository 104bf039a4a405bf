// Package settings reads and validates the settings of a process from flags and
// environment variables. A Reader collects all invalid settings, so that an
// operator sees them together. The programs' command definitions use it. The
// package keeps no state; a Reader holds the invalid settings of one command line.
package settings

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// ExitUsage is the exit status of a process with invalid settings.
const ExitUsage = 2

// EnvPrefix is the prefix of all environment variables.
const EnvPrefix = "DUNLINPULLEY_"

// maxNameLength is the longest name, in characters.
const maxNameLength = 63

// NewFlag returns a string flag that can also be set by an environment variable:
// data-centre by DUNLINPULLEY_DATA_CENTRE. A Reader parses its value.
func NewFlag(name, value, usage string) *cli.StringFlag {
	env := EnvPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: cli.EnvVars(env)}
}

// InvalidSetting is one invalid setting or argument.
type InvalidSetting struct {
	Flag    string // empty for arguments
	Value   string
	Allowed string // description of the valid values
}

// String returns the flag, its value and the allowed values.
func (s InvalidSetting) String() string {
	if s.Flag == "" {
		return fmt.Sprintf("%q; allowed: %s", s.Value, s.Allowed)
	}
	return fmt.Sprintf("--%s is %q; allowed: %s", s.Flag, s.Value, s.Allowed)
}

// InvalidSettings is the error of a command with invalid settings.
type InvalidSettings []InvalidSetting

// Error lists all invalid settings, one per line.
func (s InvalidSettings) Error() string {
	lines := make([]string, len(s))
	for i, setting := range s {
		lines[i] = setting.String()
	}
	return strings.Join(lines, "\n")
}

// Reader parses flags and collects the invalid ones. Its methods return a value
// for invalid flags too; the caller checks Err after reading all flags.
type Reader struct {
	cmd     *cli.Command
	invalid InvalidSettings
}

// NewArgsReader returns a reader for a command that requires the named
// positional arguments.
func NewArgsReader(cmd *cli.Command, names ...string) *Reader {
	r := &Reader{cmd: cmd}
	for i, name := range names {
		if cmd.Args().Get(i) == "" {
			r.InvalidSetting("", name, "an argument in place "+strconv.Itoa(i+1))
		}
	}
	if cmd.Args().Len() > len(names) {
		r.InvalidSetting("", cmd.Args().Get(len(names)), "no argument after the required ones")
	}
	return r
}

// NewReader returns a reader for a command without positional arguments.
func NewReader(cmd *cli.Command) *Reader {
	r := &Reader{cmd: cmd}
	if cmd.Args().Present() {
		r.InvalidSetting("", cmd.Args().First(), "flags only, no arguments")
	}
	return r
}

// InvalidSetting adds an invalid setting that the caller has found. The flag is empty for
// arguments; allowed describes the valid values.
func (r *Reader) InvalidSetting(flag, value, allowed string) {
	r.invalid = append(r.invalid, InvalidSetting{Flag: flag, Value: value, Allowed: allowed})
}

// Err returns the collected InvalidSettings, or nil if there are none.
func (r *Reader) Err() error {
	if len(r.invalid) == 0 {
		return nil
	}
	return r.invalid
}

// Name reads a name of lower-case letters, digits and hyphens.
func (r *Reader) Name(flag string) string {
	value := r.cmd.String(flag)
	if !isValidName(value) {
		r.InvalidSetting(flag, value, fmt.Sprintf("1 to %d lower-case letters, digits and hyphens", maxNameLength))
	}
	return value
}

func isValidName(value string) bool {
	if value == "" || len(value) > maxNameLength {
		return false
	}
	for _, c := range value {
		letter := c >= 'a' && c <= 'z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' {
			return false
		}
	}
	return true
}

// Address reads an IP address and port, such as 127.0.0.1:8080 or [::1]:8080.
func (r *Reader) Address(flag string) string {
	value := r.cmd.String(flag)
	r.checkAddress(flag, value)
	return value
}

func (r *Reader) checkAddress(flag, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		r.InvalidSetting(flag, value, "an IP address and port, such as 127.0.0.1:8080")
	}
}

// URL reads an http URL of an IP address and port, without a path.
func (r *Reader) URL(flag string) string {
	value := r.cmd.String(flag)
	address, ok := strings.CutPrefix(value, "http://")
	if _, err := netip.ParseAddrPort(address); !ok || err != nil {
		r.InvalidSetting(flag, value, "an http URL of an IP address and port, such as http://127.0.0.1:8080")
	}
	return value
}

// NamedAddress is a process's name and address.
type NamedAddress struct {
	Name    string
	Address string // IP:port
}

// NamedAddresses reads a list such as entry-1=10.0.0.1:7000,entry-2=10.0.0.2:7000. It may be empty.
func (r *Reader) NamedAddresses(flag string) []NamedAddress {
	value := r.cmd.String(flag)
	if value == "" {
		return nil
	}
	var list []NamedAddress
	for part := range strings.SplitSeq(value, ",") {
		name, address, _ := strings.Cut(part, "=")
		_, err := netip.ParseAddrPort(address)
		if err != nil || !isValidName(name) {
			r.InvalidSetting(flag, part, "name=IP:port, separated by commas")
			continue
		}
		list = append(list, NamedAddress{Name: name, Address: address})
	}
	return list
}

// OneOf reads a value that must be one of those allowed.
func (r *Reader) OneOf(flag string, allowed ...string) string {
	value := r.cmd.String(flag)
	for _, a := range allowed {
		if value == a {
			return value
		}
	}
	r.InvalidSetting(flag, value, strings.Join(allowed, ", "))
	return value
}

// Duration reads a duration from low to high, inclusive.
func (r *Reader) Duration(flag string, low, high time.Duration) time.Duration {
	value := r.cmd.String(flag)
	d, err := time.ParseDuration(value)
	if err != nil || d < low || d > high {
		r.InvalidSetting(flag, value, fmt.Sprintf("a duration from %v to %v", low, high))
	}
	return d
}

// Int reads an integer from low to high, inclusive.
func (r *Reader) Int(flag string, low, high int) int {
	value := r.cmd.String(flag)
	n, err := strconv.Atoi(value)
	if err != nil || n < low || n > high {
		r.InvalidSetting(flag, value, fmt.Sprintf("a whole number from %d to %d", low, high))
	}
	return n
}

// Uint64 reads an unsigned 64-bit integer.
func (r *Reader) Uint64(flag string) uint64 {
	value := r.cmd.String(flag)
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		r.InvalidSetting(flag, value, "a whole number, 0 or more")
	}
	return n
}

// UsageError converts a command-line syntax error to InvalidSettings. It is used
// as cli.Command.OnUsageError.
func UsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return InvalidSettings{{Value: err.Error(), Allowed: "the flags that --help lists"}}
}

// ExitCode prints an error to w and returns the exit status of the process: 0
// without an error, ExitUsage for InvalidSettings, otherwise 1.
func ExitCode(w io.Writer, err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(w, err.Error())
	var invalid InvalidSettings
	if errors.As(err, &invalid) {
		return ExitUsage
	}
	return 1
}
