package app

import (
	"bytes"
	"net"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"
)

// Checks that a failed close is logged and that closing twice is not.
func TestCloseErrorsAreLogged(t *testing.T) {
	var log bytes.Buffer
	klog.LogToStderr(false)
	klog.SetOutput(&log)
	t.Cleanup(func() { klog.LogToStderr(true) })
	logCloseError("links", nil)
	logCloseError("links", errors.Wrap(net.ErrClosed, "close"))
	klog.Flush()
	assert.Equal(t, log.String(), "")
	logCloseError("links", errors.New("I/O error"))
	klog.Flush()
	assert.Assert(t, strings.Contains(log.String(), "I/O error"), log.String())
}
