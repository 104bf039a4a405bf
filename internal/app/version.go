package app

// Version is the release version, set by the linker with -X.
var Version = "dev"
