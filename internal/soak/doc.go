// Package soak runs real gateway processes against stand-ins in a random series
// of faults from outside: signals to the processes, faults of the store, the
// replicas and the network. It checks the promises from what callers and
// replicas see. It has tests only.
package soak
