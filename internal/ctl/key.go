package ctl

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// keyBytes is the number of random bytes of a key.
const keyBytes = 32

// printNewKey generates a key and prints it with its SHA-256 hash. The prefix dp-
// makes keys of this product recognizable.
func (p *Program) printNewKey(w io.Writer) error {
	random := make([]byte, keyBytes)
	if _, err := io.ReadFull(p.Random, random); err != nil {
		return errors.Wrap(err, "generate a key")
	}
	key := "dp-" + base64.RawURLEncoding.EncodeToString(random)
	fmt.Fprintf(w, "key:  %s\nhash: %x\n", key, sha256.Sum256([]byte(key)))
	fmt.Fprintln(w, "Declare the hash. The key is not kept anywhere.")
	return nil
}
