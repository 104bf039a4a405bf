package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/platform"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
	standin "github.com/dunlinpulley/dunlinpulley/internal/standin/platform"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
)

const (
	// hostListReads is the number of reads over which bytes are averaged.
	hostListReads = 10
	// hostsLag is the delay after which the stand-in's host list shows a change. Zero
	// would select the default of 2 s.
	hostsLag = time.Millisecond
	// headerTimeout bounds the time to read a request's headers.
	headerTimeout = 5 * time.Second
)

// byteMeasures returns the measures of bytes that the platform's interfaces transfer
// and of the size of configurations.
func byteMeasures() []Measure {
	return []Measure{
		{Name: "store-bytes-hosts", Title: "Bytes to read the platform's host list once, including HTTP",
			Size: "hosts", Unit: "bytes per read in both directions", Sizes: []int{100, 400, targetAgents + targetEntries}, Run: hostListBytes, Deterministic: true},
		{Name: "store-bytes-head", Title: "Bytes of reads of the newest revision, including HTTP",
			Size: "readings", Unit: "bytes in both directions", Sizes: []int{10, 20, 40}, Run: headReadBytes, Deterministic: true},
		{Name: "configuration-bytes", Title: "Encoded size of a complete configuration with 860 endpoints and 400 entries",
			Size: "accounts", Unit: "bytes", Sizes: []int{1000, 4000, targetAccounts}, Run: configurationBytes, Deterministic: true},
	}
}

// platformServer is a stand-in platform with a client. It counts the bytes of the
// connections in both directions.
type platformServer struct {
	platform *standin.Platform
	client   *platform.Client
	server   *http.Server
	bytes    atomic.Int64
}

func startPlatform() (*platformServer, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Wrap(err, "step=listen peer=platform")
	}
	s := &platformServer{platform: standin.New(standin.Options{HostsLag: hostsLag})}
	s.client = platform.New(platform.Options{URL: "http://" + listener.Addr().String()})
	s.server = &http.Server{Handler: s.platform, ReadHeaderTimeout: headerTimeout}
	go func() { _ = s.server.Serve(countingListener{Listener: listener, bytes: &s.bytes}) }()
	return s, nil
}

func (s *platformServer) close() {
	s.client.Close()
	_ = s.server.Close()
}

func hostListBytes(hostCount int) (float64, error) {
	server, err := startPlatform()
	if err != nil {
		return 0, err
	}
	defer server.close()
	hosts := make([]table.Host, hostCount)
	for i := range hosts {
		hosts[i] = table.Host{Address: fmt.Sprintf("10.%d.%d.%d", 100+i/62500, i/250%250, i%250), State: table.HostLive}
	}
	server.platform.SetHosts(hosts)
	time.Sleep(10 * hostsLag)
	for range hostListReads {
		read, err := server.client.Hosts(context.Background())
		if err != nil {
			return 0, err
		}
		if len(read) != hostCount {
			return 0, errors.Newf("step=hosts peer=platform read %d of %d hosts", len(read), hostCount)
		}
	}
	return float64(server.bytes.Load()) / hostListReads, nil
}

func headReadBytes(readCount int) (float64, error) {
	server, err := startPlatform()
	if err != nil {
		return 0, err
	}
	defer server.close()
	value := []byte(fmt.Sprint(currentRevision))
	server.platform.Transact(&table.Request{Writes: []table.Write{{Table: table.Head, Key: "head", Value: value}}})
	for range readCount {
		reply := server.client.Do(context.Background(), table.Request{Gets: []table.Get{{Table: table.Head, Key: "head"}}})
		if reply.Status != table.StatusOK {
			return 0, errors.Newf("step=head peer=platform read of the newest revision ended with status %s", reply.Status)
		}
	}
	return float64(server.bytes.Load()), nil
}

func configurationBytes(accountCount int) (float64, error) {
	docs, err := documents(configSize{accounts: accountCount, agents: targetAgents, entries: targetEntries})
	if err != nil {
		return 0, err
	}
	size := 0
	for _, doc := range docs {
		size += proto.Size(doc)
	}
	return float64(size), nil
}

// changeMessageBytes returns the mean bytes that an entry sends for one change of an
// account, without heartbeats.
func changeMessageBytes(entryCount int) (float64, error) {
	network, err := newPeerNetwork(entryCount, policy.PeerLinks)
	if err != nil {
		return 0, err
	}
	apply, err := accountChangeRequest(1)
	if err != nil {
		return 0, err
	}
	network.messageBytes = 0
	network.cores[entryCount/2].Step(network.now, apply)
	network.runUntil(settleTime, func() bool { return false })
	if !network.allAtRevision(2) {
		return 0, errors.New("step=spread peer=entries revision 2 is not in force in all entries")
	}
	return float64(network.messageBytes) / float64(entryCount), nil
}

// partitionReach returns the percentage of entries in the region of a change that
// have the change after propagationGoal. The other region is unreachable, and so is
// the table service from the commit on.
func partitionReach(entryCount int) (float64, error) {
	network, err := newPeerNetwork(entryCount, policy.PeerLinks)
	if err != nil {
		return 0, err
	}
	apply, err := accountChangeRequest(1)
	if err != nil {
		return 0, err
	}
	for i := range network.linked {
		for j := range network.linked[i] {
			if regionOf(i) != regionOf(j) {
				delete(network.linked[i], j)
			}
		}
	}
	network.downAfterCommit = true
	network.cores[0].Step(network.now, apply)
	network.runUntil(propagationGoal, func() bool { return false })
	reached, total := 0, 0
	for i, core := range network.cores {
		if regionOf(i) != regionOf(0) {
			continue
		}
		total++
		if core.Set().Revision() >= domain.Revision(2) {
			reached++
		}
	}
	return 100 * float64(reached) / float64(total), nil
}

// regionOf returns the region of an entry. Region 0 has 4 of the 7 data centres,
// region 1 has the other 3.
func regionOf(entry int) int { return entry % targetDataCentres / 4 }
