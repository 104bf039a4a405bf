package capacity

import (
	"github.com/dunlinpulley/dunlinpulley/internal/app"
)

// unreachableStore is a URL at which no table service listens.
const unreachableStore = "http://127.0.0.1:1"

// processMeasures returns the measures of idle entries in this process. They run
// first, as memory that other measures leave behind would count.
func processMeasures() []Measure {
	return []Measure{{
		Name:  "process-resident",
		Title: "Resident set size of this process with idle production entries, which have no configuration and no links; the intercept is the program and its libraries",
		Size:  "entries", Unit: "bytes", Sizes: []int{1, 4, 16}, Run: idleEntryMemory,
	}, {
		Name:  "process-tick",
		Title: "CPU time of idle production entries, which tick every 5 ms, per second of wall-clock time",
		Size:  "entries", Unit: "microseconds per second", Sizes: []int{1, 4, 16}, Run: idleEntryCPUTime,
	}}
}

// startIdleEntries starts entries that cannot reach a table service, so that they
// get no configuration. The returned function stops them.
func startIdleEntries(count int) (func(), error) {
	var entries []*app.Entry
	stop := func() {
		for _, entry := range entries {
			entry.Close()
		}
	}
	for i := range count {
		entry, err := app.StartEntry(app.EntrySettings{
			Name: entryName(i), DataCentre: dataCentreName(i), Store: unreachableStore,
			Listen: loopback, AdminAddress: loopback, PeerListen: loopback,
		})
		if err != nil {
			stop()
			return nil, err
		}
		entries = append(entries, entry)
	}
	return stop, nil
}

func idleEntryMemory(entries int) (float64, error) {
	stop, err := startIdleEntries(entries)
	if err != nil {
		return 0, err
	}
	defer stop()
	return residentBytes()
}

func idleEntryCPUTime(entries int) (float64, error) {
	stop, err := startIdleEntries(entries)
	if err != nil {
		return 0, err
	}
	defer stop()
	return cpuTimePerSecond(idleMeasureSeconds), nil
}
