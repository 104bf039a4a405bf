// Package settings reads and checks the settings of a process, which come from
// flags and environment variables. All faults are collected, so that an
// operator sees them at once.
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

// ExitUsage is the exit status of a process whose settings are wrong.
const ExitUsage = 2

// EnvPrefix begins the name of each environment variable.
const EnvPrefix = "DUNLINPULLEY_"

// maxNameLength bounds names, in characters.
const maxNameLength = 63

// Text returns a flag whose value Reader checks. The environment variable of
// data-centre is DUNLINPULLEY_DATA_CENTRE.
func Text(name, value, usage string) *cli.StringFlag {
	env := EnvPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: cli.EnvVars(env)}
}

// Fault is one wrong setting.
type Fault struct {
	Flag    string
	Value   string
	Allowed string
}

// String tells the flag, its value and what is allowed.
func (f Fault) String() string {
	if f.Flag == "" {
		return fmt.Sprintf("%q; allowed: %s", f.Value, f.Allowed)
	}
	return fmt.Sprintf("--%s is %q; allowed: %s", f.Flag, f.Value, f.Allowed)
}

// Faults is the error of wrong settings.
type Faults []Fault

// Error lists all faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Reader reads flags and collects what is wrong with them.
type Reader struct {
	cmd    *cli.Command
	faults Faults
}

// NewArgsReader returns a reader for a command that takes the named arguments.
func NewArgsReader(cmd *cli.Command, names ...string) *Reader {
	r := &Reader{cmd: cmd}
	for i, name := range names {
		if cmd.Args().Get(i) == "" {
			r.Fault("", name, "an argument in place "+strconv.Itoa(i+1))
		}
	}
	if cmd.Args().Len() > len(names) {
		r.Fault("", cmd.Args().Get(len(names)), "no further argument")
	}
	return r
}

// NewReader reads the flags of a command that takes no arguments.
func NewReader(cmd *cli.Command) *Reader {
	r := &Reader{cmd: cmd}
	if cmd.Args().Present() {
		r.Fault("", cmd.Args().First(), "flags only, no arguments")
	}
	return r
}

// Fault adds a fault.
func (r *Reader) Fault(flag, value, allowed string) {
	r.faults = append(r.faults, Fault{Flag: flag, Value: value, Allowed: allowed})
}

// Err returns the Faults, or nil with none.
func (r *Reader) Err() error {
	if len(r.faults) == 0 {
		return nil
	}
	return r.faults
}

// Name reads a name of lower-case letters, digits and hyphens.
func (r *Reader) Name(flag string) string {
	value := r.cmd.String(flag)
	if !isValidName(value) {
		r.Fault(flag, value, fmt.Sprintf("1 to %d lower-case letters, digits and hyphens", maxNameLength))
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
		r.Fault(flag, value, "an IP address and port, such as 127.0.0.1:8080")
	}
}

// URL reads an http URL of an IP address and port, without a path.
func (r *Reader) URL(flag string) string {
	value := r.cmd.String(flag)
	address, ok := strings.CutPrefix(value, "http://")
	if _, err := netip.ParseAddrPort(address); !ok || err != nil {
		r.Fault(flag, value, "an http URL of an IP address and port, such as http://127.0.0.1:8080")
	}
	return value
}

// NamedAddress is a name with an address.
type NamedAddress struct {
	Name    string
	Address string
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
			r.Fault(flag, part, "name=IP:port, separated by commas")
			continue
		}
		list = append(list, NamedAddress{Name: name, Address: address})
	}
	return list
}

// OneOf reads one of a few words.
func (r *Reader) OneOf(flag string, allowed ...string) string {
	value := r.cmd.String(flag)
	for _, a := range allowed {
		if value == a {
			return value
		}
	}
	r.Fault(flag, value, strings.Join(allowed, ", "))
	return value
}

// Duration reads a duration between two bounds, which are allowed themselves.
func (r *Reader) Duration(flag string, low, high time.Duration) time.Duration {
	value := r.cmd.String(flag)
	d, err := time.ParseDuration(value)
	if err != nil || d < low || d > high {
		r.Fault(flag, value, fmt.Sprintf("a duration from %v to %v", low, high))
	}
	return d
}

// Int reads a whole number between two bounds, which are allowed themselves.
func (r *Reader) Int(flag string, low, high int) int {
	value := r.cmd.String(flag)
	n, err := strconv.Atoi(value)
	if err != nil || n < low || n > high {
		r.Fault(flag, value, fmt.Sprintf("a whole number from %d to %d", low, high))
	}
	return n
}

// Uint64 reads a whole number of at most 64 bits.
func (r *Reader) Uint64(flag string) uint64 {
	value := r.cmd.String(flag)
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		r.Fault(flag, value, "a whole number, 0 or more")
	}
	return n
}

// UsageError turns a fault of the command line itself into Faults. It fits cli.Command.OnUsageError.
func UsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return Faults{{Value: err.Error(), Allowed: "the flags that --help lists"}}
}

// ExitCode prints an error for the operator and returns the exit status that it calls for.
func ExitCode(w io.Writer, err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(w, err.Error())
	var faults Faults
	if errors.As(err, &faults) {
		return ExitUsage
	}
	return 1
}
