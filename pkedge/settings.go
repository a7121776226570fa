package pkedge

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pkyaml"
)

// Settings is the settings file of a daemon.
type Settings struct {
	Entry      pkid.EntryID    `yaml:"entry"`
	DataCenter pkid.DataCenter `yaml:"data_center"`
	Listen     Listen          `yaml:"listen"`
	// Seeds are the addresses of peers to contact while no other entry is known.
	Seeds []string `yaml:"seeds"`
	// Store is the address of the platform's store.
	Store string `yaml:"store"`
	// ProcessorShare is the share of a processor that the VM has. In large fleets the entries with
	// the largest share become hubs.
	ProcessorShare float64 `yaml:"processor_share"`
	// Bootstrap is set if all entries start for the first time. They then wait a moment for the
	// entries with the largest processor share to serve them.
	Bootstrap bool `yaml:"bootstrap"`
	// MemoryMB is the memory limit in megabytes, beyond which the platform ends the process.
	MemoryMB int `yaml:"memory_mb"`
	// MaxDescriptors is the limit on the descriptors of the process; zero means that of the system.
	MaxDescriptors int   `yaml:"max_descriptors"`
	Stop           Stop  `yaml:"stop"`
	Retry          Retry `yaml:"retry"`
	Queue          Queue `yaml:"queue"`
}

// Listen holds the addresses that a daemon listens on.
type Listen struct {
	Callers string `yaml:"callers"`
	// Ready serves readiness and metrics.
	Ready string `yaml:"ready"`
	// Peers accepts connections of other entries; if empty, the daemon has no peers.
	Peers string `yaml:"peers"`
}

// Stop bounds a graceful stop.
type Stop struct {
	// GraceS is the time in seconds after which the platform kills a stopping process.
	GraceS float64 `yaml:"grace_s"`
}

// Retry is the retry budget of the whole fleet: in each window of WindowS seconds, Ratio retries
// per request and Slack further ones.
type Retry struct {
	Ratio   float64 `yaml:"ratio"`
	WindowS float64 `yaml:"window_s"`
	Slack   float64 `yaml:"slack"`
}

// QueueMode selects the pools of engines whose requests are queued for room.
type QueueMode string

// Modes of the queue for room.
const (
	// QueueAuto queues for pools whose routes for streams declare different priorities.
	QueueAuto   QueueMode = "auto"
	QueueAlways QueueMode = "always"
	QueueNever  QueueMode = "never"
)

// Queue configures the queues in which streams wait for room in a pool of engines.
type Queue struct {
	// Mode is QueueAuto if it is empty.
	Mode QueueMode `yaml:"mode"`
	// MaxWaiting bounds the requests that wait for a pool at this entry; zero means
	// pkqueue.DefaultMaxWaiting.
	MaxWaiting int `yaml:"max_waiting"`
}

func (q Queue) valid() bool {
	switch q.Mode {
	case "", QueueAuto, QueueAlways, QueueNever:
		return true
	default:
		return false
	}
}

// appliesWhileRunning has each setting by its name in the file, and whether a change applies while a daemon runs. Others
// wait for a restart.
var appliesWhileRunning = map[string]bool{
	"entry": false, "data_center": false, "store": false, "processor_share": false, "bootstrap": false, "memory_mb": false, "max_descriptors": false,
	"listen.callers": false, "listen.ready": false, "listen.peers": false, "queue.mode": false, "queue.max_waiting": false,
	"seeds": true, "stop.grace_s": true, "retry.ratio": true, "retry.window_s": true, "retry.slack": true,
}

// waitForRestart returns the names of the settings that differ in the next ones and do not apply while a daemon runs.
func (s Settings) waitForRestart(next Settings) []string {
	return slices.DeleteFunc(pkyaml.Changes(s, next), func(name string) bool { return appliesWhileRunning[name] })
}

// placeOf returns the place of an entry, from 0 to 1, in the order in which entries take turns.
func placeOf(self pkid.EntryID) float64 {
	digest := sha256.Sum256([]byte(self))
	return float64(binary.BigEndian.Uint32(digest[:])) / (1 << 32)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ParseSettings parses and validates a settings file. The error lists each fault with its line.
func ParseSettings(file string, body []byte) (Settings, error) {
	s, doc, err := pkyaml.Decode[Settings](file, body)
	if err != nil {
		return s, err
	}
	c := pkyaml.Checker{Doc: doc}
	c.Require(s.Entry != "", "entry is missing", "entry")
	c.Require(s.DataCenter != "", "data_center is missing", "data_center")
	c.Require(s.Listen.Callers != "", "listen.callers is missing", "listen", "callers")
	c.Require(s.Listen.Ready != "", "listen.ready is missing", "listen", "ready")
	c.Require(s.Store != "", "store is missing", "store")
	c.Require(s.ProcessorShare >= 0, "processor_share must not be below 0", "processor_share")
	c.Require(s.MemoryMB >= 0, "memory_mb must not be below 0", "memory_mb")
	c.Require(s.MaxDescriptors >= 0, "max_descriptors must not be below 0", "max_descriptors")
	c.Require(s.Stop.GraceS > 0, "stop.grace_s must be over 0", "stop", "grace_s")
	c.Require(s.Retry.Ratio >= 0, "retry.ratio must not be below 0", "retry", "ratio")
	c.Require(s.Retry.WindowS > 0, "retry.window_s must be over 0", "retry", "window_s")
	c.Require(s.Retry.Slack >= 0, "retry.slack must not be below 0", "retry", "slack")
	c.Require(s.Queue.valid(), "queue.mode must be auto, always or never", "queue", "mode")
	c.Require(s.Queue.MaxWaiting >= 0, "queue.max_waiting must not be below 0", "queue", "max_waiting")
	return s, c.Err()
}
