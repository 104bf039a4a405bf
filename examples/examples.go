// Package examples embeds the example sets of declarations, which the embedded
// deployments, the load generator and tests use. It keeps no state.
package examples

import "embed"

// FS holds one directory for each example set.
//
//go:embed port-huron hwanyeong
var FS embed.FS

// Directories of the example sets in FS.
const (
	PortHuron = "port-huron"
	Hwanyeong = "hwanyeong"
)
