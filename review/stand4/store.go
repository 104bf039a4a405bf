package main

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/metastore"
)

// store is the platform's store: the project's own stand-in behind a listener.
type store struct {
	*metastore.Store
	server *http.Server
}

// startStore serves an empty store at a loopback address.
func startStore(address string) (*store, error) {
	s := &store{Store: metastore.New()}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s.Store, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a row as the operator or a replica does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // maps of plain values only
	}
	s.Put(table, key, data)
}

func (s *store) close() { _ = s.server.Close() }
