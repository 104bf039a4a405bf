package replica

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// answerWithoutEnd answers a request by a fault whose head or body doesn't end, until the client closes the connection. It reports whether the
// fault is one.
func (r *Replica) answerWithoutEnd(conn net.Conn, id string, fault Fault) bool {
	switch fault {
	case EndlessHead:
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n")
		return !writeEndless(conn, "X-Filler: "+strings.Repeat("x", endlessPiece)+"\r\n")
	case EndlessInterim:
		return !writeEndless(conn, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", endlessPiece/32))
	case EndlessForeign:
		return !writeEndless(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\nX-Replica-Seal: seal-"+r.ID+"\r\nContent-Length: 4\r\n\r\nbody")
	case EndlessTrailer:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: seal-%s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", id, r.ID)
		return !writeEndless(conn, "X-Filler: "+strings.Repeat("x", endlessPiece)+"\r\n")
	case EndlessExtension:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: seal-%s\r\nTransfer-Encoding: chunked\r\n\r\n4;x=", id, r.ID)
		return !writeEndless(conn, strings.Repeat("x", endlessPiece))
	case StalledHead:
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n"+shortFields(stalledHeadBytes))
		_, _ = io.Copy(io.Discard, conn) // ends with the connection
		return true
	case EndlessBody, SlowBody:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: seal-%s\r\nTransfer-Encoding: chunked\r\n\r\n", id, r.ID)
		if fault == EndlessBody {
			return !writeEndless(conn, endlessChunk)
		}
		for {
			if _, err := io.WriteString(conn, slowChunk); err != nil {
				return true
			}
			time.Sleep(slowInterval)
		}
	default:
		return false
	}
}

// slowChunk is what SlowBody sends in each slowInterval.
var slowChunk = fmt.Sprintf("%x\r\n%s\r\n", endlessPiece/2, strings.Repeat("x", endlessPiece/2))

const slowInterval = 10 * time.Millisecond

// stalledHeadBytes is the size of the part of a head before it stops.
const stalledHeadBytes = 60_000

// shortFields returns header lines of different names, of a few bytes each, up to a size in bytes.
func shortFields(size int) string {
	var b strings.Builder
	for n := 0; b.Len() < size; n++ {
		b.WriteString(strconv.FormatInt(int64(n), 36) + ":\r\n")
	}
	return b.String()
}

// endlessPiece is the size in bytes of the pieces that are sent without end.
const endlessPiece = 16 << 10

var endlessChunk = fmt.Sprintf("%x\r\n%s\r\n", endlessPiece, strings.Repeat("x", endlessPiece))

// writeEndless writes a piece until the client closes the connection. It returns false, as the connection must
// be closed then.
func writeEndless(conn net.Conn, piece string) bool {
	for {
		if _, err := io.WriteString(conn, piece); err != nil {
			return false
		}
	}
}
