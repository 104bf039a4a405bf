// Package crashblame finds requests and prompt parts under which endpoints crash, and says which requests
// must not be sent because of them. An endpoint crashes when it begins to write an answer to a prompt
// with such a part, whatever else the prompt holds, or when it begins to run such a request, which comes again as it
// was. Every request that runs there is lost with it. A whole request counts as one more part of itself.
//
// A Ledger holds what one process knows. The invariants:
//
//   - A part that an endpoint went on writing under is proven and is not blamed while that proof is recent.
//   - A part is blamed when maxCrashes endpoint processes have crashed under it since its last proof, as
//     far as this process and its peers have seen, or when a peer blames it. A crash takes answers with it, so that requests
//     whose answers had not begun are suspected too; their parts are not blamed for crashes at all of which
//     answers under one blamed part had begun.
//   - The prompt parts of a request that is lost before the head of its answer count only once the process is known
//     to be gone: a network that resets connections must not blame a part. Peers are told of confirmed losses only.
//   - While a part is blamed, no request with it is sent, but for probes: one request of all processes
//     at a few times (probe.go). A probe that is answered proves its parts.
//   - Crashes under a part that was blamed before are not held against other parts.
//
// The package has no I/O, clock or goroutine: callers pass the time.
package crashblame
