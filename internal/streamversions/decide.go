package streamversions

// Answer is what a process knows of a stream and its service.
type Answer struct {
	// Known means that the process has a record of the stream, whose version is Version. It
	// is 0 if the process was told of several.
	Known bool
	// State is the state of the service, if Known is not set. Unless it is StateMixed, Version is
	// the only version that the process knows; 0 if it knows none.
	State   State
	Version Version
}

// Decide returns the version at which a stream goes on, or 0 if it may not go on anywhere. own is what this process knows, answers are
// those of its peers. current is whether this process has read the registry since the caller asked.
//
// A record decides. Without one, some process must know that the service had no other version for as long as a stream can be taken up.
// Processes that have all just started can't know that: the endpoints that began the stream may have left before. Peers that don't answer
// need not be heard: they learn versions from the registry too, so that a version at which one of them began the stream had an entry before
// the caller asked. A process that can't read the registry may lack it and allows none.
func Decide(own Answer, answers []Answer, current bool) Version {
	if version, known := Recorded(own, answers); known {
		return version
	}
	if !current {
		return 0
	}
	only, sure := Version(0), false
	for _, a := range append([]Answer{own}, answers...) {
		if a.State == StateMixed || a.Version != 0 && only != 0 && a.Version != only {
			return 0
		}
		if a.Version != 0 {
			only = a.Version
		}
		sure = sure || a.State == StateSole
	}
	if !sure {
		return 0
	}
	return only
}

// Recorded returns the version on which all records of a stream agree, or 0 if they don't.
// known is whether there is a record.
func Recorded(own Answer, answers []Answer) (version Version, known bool) {
	for _, a := range append([]Answer{own}, answers...) {
		if !a.Known {
			continue
		}
		if known && a.Version != version {
			return 0, true
		}
		version, known = a.Version, true
	}
	return version, known
}
