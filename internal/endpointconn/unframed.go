package endpointconn

import (
	"net/http"
	"time"
)

// UnframedEndWait is how long after the end of an unframed answer another connection to its process has to stay open for the
// answer to be whole: a process that ends closes its connections within it.
const UnframedEndWait = 50 * time.Millisecond

// IsUnframed reports whether only the end of the connection ends the body of an answer.
func IsUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}
