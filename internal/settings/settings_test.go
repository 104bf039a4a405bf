package settings

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"
)

func readSettings(t *testing.T, args ...string) error {
	t.Helper()
	var err error
	cmd := &cli.Command{
		Name: "test",
		Flags: []cli.Flag{
			NewFlag("name", "entry-1", ""), NewFlag("listen", "127.0.0.1:1", ""), NewFlag("store", "http://127.0.0.1:2", ""),
			NewFlag("peers", "", ""), NewFlag("wait", "1s", ""), NewFlag("slots", "4", ""), NewFlag("kind", "model", ""), NewFlag("seed", "1", ""),
		},
		OnUsageError: UsageError,
		Writer:       &bytes.Buffer{},
		ErrWriter:    &bytes.Buffer{},
		Action: func(_ context.Context, cmd *cli.Command) error {
			r := NewReader(cmd)
			r.Name("name")
			r.Address("listen")
			r.URL("store")
			r.NamedAddresses("peers")
			r.Duration("wait", 0, time.Minute)
			r.Int("slots", 1, 8)
			r.OneOf("kind", "model", "plain")
			r.Uint64("seed")
			return r.Err()
		},
	}
	err = cmd.Run(context.Background(), append([]string{"test"}, args...))
	return err
}

func TestValidSettingsAreAccepted(t *testing.T) {
	assert.NilError(t, readSettings(t, "--peers", "entry-2=10.0.0.2:7000,entry-3=[::1]:7000"))
}

func TestAllInvalidSettingsAreReportedAtOnce(t *testing.T) {
	err := readSettings(t, "--name", "Entry 1", "--listen", "localhost:80", "--store", "https://x", "--peers", "a=b",
		"--wait", "2h", "--slots", "nine", "--kind", "other", "--seed", "-1")
	invalid, ok := err.(InvalidSettings)
	assert.Assert(t, ok, "%v", err)
	assert.Equal(t, len(invalid), 8)
	var out bytes.Buffer
	assert.Equal(t, ExitCode(&out, err), ExitUsage)
	for _, part := range []string{`--name is "Entry 1"`, `--listen is "localhost:80"`, "from 1 to 8", "from 0s to 1m0s"} {
		assert.Assert(t, bytes.Contains(out.Bytes(), []byte(part)), "%s lacks %s", out.String(), part)
	}
}

func TestSettingsComeFromTheEnvironment(t *testing.T) {
	t.Setenv("DUNLINPULLEY_KIND", "wrong")
	assert.ErrorContains(t, readSettings(t), `--kind is "wrong"`)
}

func TestUnknownFlagIsAUsageError(t *testing.T) {
	err := readSettings(t, "--nonsense")
	assert.Equal(t, ExitCode(&bytes.Buffer{}, err), ExitUsage)
}
