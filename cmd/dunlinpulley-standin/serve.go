package main

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/settings"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/netfault"
)

// standin serves a stand-in's API. Control serves only the pages for
// its faults and counters.
type standin interface {
	http.Handler
	Control() http.Handler
}

// addresses are the addresses on which a stand-in listens.
type addresses struct {
	listen  string
	control string // empty for none
}

// addressFlags returns the flags of the addresses. Listen is the default of --listen.
func addressFlags(listen string) []cli.Flag {
	return []cli.Flag{
		newFlag("listen", listen, "IP address and port to serve on"),
		newFlag("control-listen", "",
			"IP address and port that serves only the pages for faults and counters; without it a crashed stand-in accepts connections and closes them"),
	}
}

func readAddresses(r *settings.Reader, c *cli.Command) addresses {
	a := addresses{listen: r.Address("listen")}
	if c.String("control-listen") != "" {
		a.control = r.Address("control-listen")
	}
	return a
}

// standinServers are the servers of one stand-in, one for each address.
type standinServers struct {
	main    *netfault.Server
	control *netfault.Server // nil for none
}

// listen opens the main address and, if there is one, the control address.
func listen(a addresses) (*standinServers, error) {
	server, err := netfault.Listen(a.listen)
	if err != nil {
		return nil, err
	}
	servers := &standinServers{main: server}
	if a.control == "" {
		return servers, nil
	}
	servers.control, err = netfault.Listen(a.control)
	if err != nil {
		server.Close()
		return nil, err
	}
	return servers, nil
}

// network returns the main server, whose connections can be made to fail. It returns
// nil without a control address, because no request could end such a fault then.
func (s *standinServers) network() netfault.Network {
	if s.control == nil {
		return nil
	}
	return s.main
}

// serve serves a stand-in until the context ends, then lets requests in progress
// finish.
func (s *standinServers) serve(ctx context.Context, handler standin) error {
	s.main.Serve(handler)
	klog.InfoS("serving", "address", s.main.Addr())
	if s.control != nil {
		s.control.Serve(handler.Control())
		defer s.control.Close()
		klog.InfoS("serving faults and counters", "address", s.control.Addr())
	}
	select {
	case err := <-s.main.Failed():
		return err
	case <-ctx.Done():
	}
	klog.InfoS("shutting down", "address", s.main.Addr())
	return s.main.Shutdown(context.WithoutCancel(ctx))
}
