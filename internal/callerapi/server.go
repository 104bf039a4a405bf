package callerapi

import (
	"context"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/hangup"
)

const (
	// headerTimeout limits the time to read a request's headers.
	headerTimeout = 10 * time.Second
	// idleTimeout limits the wait for the next request on a connection.
	idleTimeout = 120 * time.Second
	// maxHeaderBytes limits the size of a request's headers.
	maxHeaderBytes = 64 << 10
	// TCP keepalive: the first probe follows after keepAliveIdle without data,
	// the next ones every keepAliveInterval. A connection is closed after
	// keepAliveCount unanswered probes, 30 s after its last data.
	keepAliveIdle     = 10 * time.Second
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 4
	// unacknowledgedTimeout is how long sent data may stay unacknowledged before
	// the connection is considered half-open and closed.
	unacknowledgedTimeout = 30 * time.Second
)

// NewServer returns an HTTP server for the handler, to serve on listeners of package hangup. It sets no read or write
// timeout, as streamed answers may take any time; the handler sets deadlines for
// request bodies and for each write.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           watchCallers(handler),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          klog.NewStandardLogger("WARNING"),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			switch conn := conn.(type) {
			case *hangup.Conn:
				enableDeadPeerDetection(conn.TCPConn)
				return hangup.NewContext(ctx, conn)
			case *net.TCPConn:
				enableDeadPeerDetection(conn)
			}
			return ctx
		},
	}
}

// watchCallers ends the contexts of requests whose callers leave behind unread bytes.
func watchCallers(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r, stop := hangup.Watch(r)
		defer stop()
		handler.ServeHTTP(w, r)
	})
}

// enableDeadPeerDetection makes the kernel close a connection to an unreachable
// caller: by TCP keepalive while no data is sent, and by a timeout of
// acknowledgements while an answer is being sent.
func enableDeadPeerDetection(conn *net.TCPConn) {
	err := conn.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	})
	if err == nil {
		err = setUserTimeout(conn, unacknowledgedTimeout)
	}
	if err != nil {
		klog.InfoS("setting TCP keepalive or user timeout failed", "peer", conn.RemoteAddr(), "err", err)
	}
}
