// Package port holds the plain messages that the product exchanges with the
// platform it runs on, and the interfaces of the platform's services. How they are
// encoded is the adapter's business.
package port

import (
	"time"

	"carawaymux.dev/fleet/batch"
)

// Config is what operators have put in force.
type Config struct {
	// Version rises with each configuration.
	Version int64
	// Queues are where callers submit jobs.
	Queues []Queue
	// Pools are the pools of hosts.
	Pools []Pool
	// MaxBody and MaxHeader bound a caller's request, in bytes; 0 for none given.
	MaxBody, MaxHeader int64
	// HeaderTimeout and IdleTimeout bound a caller's connection; 0 for none given.
	HeaderTimeout, IdleTimeout time.Duration
}

// Queue accepts jobs for one pool.
type Queue struct {
	// Name is unique in a configuration.
	Name string
	// Host and Prefix select the queue of a request.
	Host, Prefix string
	// Pool is the pool whose hosts run the work.
	Pool string
	// Priority orders queues of a pool, 0 first.
	Priority int
	// MaxAttempts is how often a task may fail; 0 for no limit given.
	MaxAttempts int
	// Stretch times the longest chain of work, and Target more, is the objective.
	Stretch float64
	Target  time.Duration
	// Timeout bounds the answer to a caller.
	Timeout time.Duration
	// Advice is set when a policy service says which hosts may run a step.
	Advice *Advice
}

// Advice describes the policy service of a queue.
type Advice struct {
	// Decision and PerHost are what an answer takes.
	Decision, PerHost time.Duration
	// Valid is how long a ticket may be used.
	Valid time.Duration
}

// Pool is a pool of hosts.
type Pool struct {
	Name string
	// EnforcesCapacity says that hosts refuse what does not fit.
	EnforcesCapacity bool
	// Standby says that the pool's machines are switched off.
	Standby bool
}

// Host is a host as the platform's list shows it; the list may be behind.
type Host struct {
	// ID names one life of a machine, or several when it starts again under it.
	ID string
	// Address is where the host listens.
	Address string
	Pool    string
	Zone    string
	// Draining says that the host will leave and takes no new work.
	Draining bool
	// Capacity and Labels are what the host says of itself; Rack is the label that
	// names its failure domain, empty when it names none.
	Capacity batch.Size
	Labels   []string
	Rack     string
	// Born is when this life began, in milliseconds since 1970; 0 if not known.
	Born int64
}

// Wave asks for maintenance of machines.
type Wave struct {
	Number   int64
	Machines []string
	// TimeLimit is the time that the wave may take.
	TimeLimit time.Duration
	// MaxDown is how many machines may be down for the wave at once.
	MaxDown int
}

// MachineState is what a machine is doing.
type MachineState string

// The states of a machine.
const (
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"
	MachineMaintenance MachineState = "upkeep"
	MachineDown        MachineState = "down"
)

// Machine is a row of the platform's list of machines.
type Machine struct {
	ID       string
	Pool     string
	State    MachineState
	Zone     string
	Rack     string
	Capacity batch.Size
	// Host is the ID of the host that the machine now is; empty while it is none.
	Host string
}
