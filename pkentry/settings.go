package pkentry

import (
	"fmt"
	"net"
	"slices"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pkroute"
	"peridotknot.example/pkyaml"
)

// Settings is the content of an entry's settings file.
type Settings struct {
	Entry      pkid.EntryID    `yaml:"entry"`
	Region     pkid.Region     `yaml:"region"`
	DataCenter pkid.DataCenter `yaml:"data_center"`
	Listen     Listen          `yaml:"listen"`
	// Store and Platform are the IP:port addresses of the key-value service and of the VM list.
	Store    string        `yaml:"store"`
	Platform string        `yaml:"platform"`
	Peers    Peers         `yaml:"peers"`
	Links    []LinkLatency `yaml:"links"`
	Log      Log           `yaml:"log"`
	Stop     Stop          `yaml:"stop"`
	Trace    TraceExport   `yaml:"trace"`
	// MemoryMB is the memory limit in megabytes; zero means GOMEMLIMIT, or else the memory of the machine.
	MemoryMB int `yaml:"memory_mb"`
	// MaxDescriptors is the limit on the descriptors of the process; zero means that of the system.
	MaxDescriptors int `yaml:"max_descriptors"`
	// Policy selects how targets are chosen. Empty is the default, by cost; the others serve
	// comparisons.
	Policy pkroute.Policy `yaml:"policy"`
	// Record is the file that a trace of the requests is appended to; empty records none.
	Record string `yaml:"record"`
}

// Listen holds the addresses that an entry listens on, each as IP:port. Peers may be empty.
type Listen struct {
	Callers string `yaml:"callers"`
	Admin   string `yaml:"admin"`
	Peers   string `yaml:"peers"`
	// Profile enables the pprof endpoints on the admin address.
	Profile bool `yaml:"profile"`
}

// Peers configures how an entry discovers and connects to other entries.
type Peers struct {
	// Seeds are the addresses of peers to contact for discovery.
	Seeds []string `yaml:"seeds"`
	// Neighborhood is the scope within which full state is shared: data_center or region.
	Neighborhood string `yaml:"neighborhood"`
	TLS          TLS    `yaml:"tls"`
}

// TLS names the PEM files for mutual TLS between entries; the zero value disables TLS.
type TLS struct {
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	CA   string `yaml:"ca"`
}

// LinkLatency is the one-way network latency between two data centres.
type LinkLatency struct {
	From    pkid.DataCenter `yaml:"from"`
	To      pkid.DataCenter `yaml:"to"`
	Latency time.Duration   `yaml:"time"`
}

// Log configures the log level and format.
type Log struct {
	Level  string `yaml:"level"`
	Format string `yaml:"format"`
}

// Stop configures the graceful shutdown.
type Stop struct {
	// Delay is how long new requests are still accepted after /readyz reports not ready.
	Delay time.Duration `yaml:"delay"`
	// Limit bounds the shutdown, Delay included, before requests in progress are aborted.
	Limit time.Duration `yaml:"limit"`
}

// TraceExport configures the export of spans; an empty OTLP address disables it.
type TraceExport struct {
	OTLP string `yaml:"otlp"`
}

// Allowed values of Peers.Neighborhood and Log.Format.
const (
	NeighborhoodDataCenter = "data_center"
	NeighborhoodRegion     = "region"
	LogText                = "text"
	LogJSON                = "json"
)

// ParseSettings decodes and validates a settings file; the error is a pkyaml.Faults.
func ParseSettings(file string, body []byte) (Settings, error) {
	s, doc, err := pkyaml.Decode[Settings](file, body)
	if err != nil {
		return s, err
	}
	c := pkyaml.Checker{Doc: doc}
	c.Require(s.Entry != "", "entry is missing", "entry")
	c.Require(s.Region != "", "region is missing", "region")
	c.Require(s.DataCenter != "", "data_center is missing", "data_center")
	c.Require(isAddress(s.Listen.Callers), "listen.callers: expected IP:port", "listen", "callers")
	c.Require(isAddress(s.Listen.Admin), "listen.admin: expected IP:port", "listen", "admin")
	c.Require(s.Listen.Peers == "" || isAdvertisable(s.Listen.Peers), "listen.peers: expected IP:port by which the other entries reach this one", "listen", "peers")
	c.Require(isAddress(s.Store), "store: expected IP:port", "store")
	c.Require(isAddress(s.Platform), "platform: expected IP:port", "platform")
	for i, seed := range s.Peers.Seeds {
		c.Require(isAddress(seed), "peers.seeds: expected IP:port", "peers", "seeds", i)
	}
	c.Require(s.MemoryMB >= 0, "memory_mb must not be below 0", "memory_mb")
	c.Require(s.MaxDescriptors >= 0, "max_descriptors must not be below 0", "max_descriptors")
	n := s.Peers.Neighborhood
	c.Require(n == "" || n == NeighborhoodDataCenter || n == NeighborhoodRegion, "expected data_center or region", "peers", "neighborhood")
	policies := []pkroute.Policy{pkroute.ByCost, pkroute.Random, pkroute.BestOfTwo, pkroute.LeastConnections}
	c.Require(slices.Contains(policies, s.Policy), fmt.Sprintf("expected one of %q", policies), "policy")
	t := s.Peers.TLS
	c.Require(t == TLS{} || (t.Cert != "" && t.Key != "" && t.CA != ""), "cert, key and ca go together", "peers", "tls")
	c.Require(s.Log.Format == "" || s.Log.Format == LogText || s.Log.Format == LogJSON, "expected text or json", "log", "format")
	c.Require(s.Stop.Delay >= 0 && s.Stop.Limit >= s.Stop.Delay, "limit must not be below delay, nor delay below zero", "stop")
	if err := c.Err(); err != nil {
		return s, err
	}
	return s.withDefaults(), nil
}

func (s Settings) withDefaults() Settings {
	if s.Peers.Neighborhood == "" {
		s.Peers.Neighborhood = NeighborhoodDataCenter
	}
	if s.Log.Format == "" {
		s.Log.Format = LogText
	}
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
	if s.Stop.Limit == 0 {
		s.Stop = Stop{Delay: 2 * time.Second, Limit: 60 * time.Second}
	}
	return s
}

// isAdvertisable reports whether addr can be sent to peers as it is, which excludes the unspecified
// address.
func isAdvertisable(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	return err == nil && isAddress(addr) && !net.ParseIP(host).IsUnspecified()
}

func isAddress(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	return err == nil && port != "" && net.ParseIP(host) != nil
}
