package engine_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/engine"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// Guards against an answer without a length that the end of the service cuts, and that is reported as complete.
func TestUnframedAnswerEndedByCrash(t *testing.T) {
	for _, c := range []struct {
		name   string
		body   string
		goesOn bool
		reason pb.EndReason
	}{
		{"whole", "whole", true, pb.EndReason_END_COMPLETE},
		{"cut", "who", false, pb.EndReason_END_BROKEN},
		{"cut before the body", "", false, pb.EndReason_END_BROKEN},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { listener.Close() })
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					_, _ = io.Copy(io.Discard, request.Body)
				}
				if !c.goesOn {
					listener.Close()
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n\r\n%s", c.body)
				conn.Close()
			}()
			client := engine.New(engine.Options{Address: listener.Addr().String(), Kind: domain.ServicePlain})
			r := runToEnd(t, client, 1, &pb.HandOver{RequestId: "a", Method: "POST", Path: "/x", Body: []byte("b")})
			assert.Equal(t, r.reason, c.reason, r.message)
		})
	}
}
