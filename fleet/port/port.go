// Package port holds the plain messages that the product exchanges with the platform that it runs
// on, and the interfaces (the ports) of the platform's services. Adapters in the platform module
// implement the interfaces and choose the encoding.
package port

import (
	"crypto/sha256"
	"time"

	"carawaymux.dev/fleet/batch"
)

// Config is the configuration that operators have put in force.
type Config struct {
	// Version increases with each configuration.
	Version int64
	// Queues are the queues to which callers submit jobs.
	Queues []Queue
	// Pools are the pools of hosts.
	Pools []Pool
	// Tenants are the tenants whose keys callers present. No two have the same name or share a key.
	Tenants []Tenant
	// RequiresKeys reports whether callers need the key of a tenant, but for queues that allow anonymous callers.
	RequiresKeys bool
	// MaxBody and MaxHeader limit a caller's request, in bytes; 0 means not configured.
	MaxBody, MaxHeader int64
	// HeaderTimeout and IdleTimeout limit a caller's connection; 0 means not configured.
	HeaderTimeout, IdleTimeout time.Duration
}

// KeyDigest is the SHA-256 digest of a key. The keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Tenant is a customer whose jobs share limits and a share of full pools.
type Tenant struct {
	// Name is unique in a configuration and not empty.
	Name string
	// Keys are the digests of the keys that callers of the tenant present.
	Keys []KeyDigest
	// Weight is the tenant's share of a full pool against that of others. It is 0 or more and finite.
	Weight float64
	// Cap limits what all running tasks of the tenant request. A dimension that is 0 has no limit.
	Cap batch.Size
}

// Queue accepts jobs for one pool.
type Queue struct {
	// Name is unique in a configuration.
	Name string
	// Version is that of the configuration.
	Version int64
	// Host and Prefix (of the path) select the queue of an HTTP request.
	Host, Prefix string
	// Pool is the pool whose hosts run the queue's jobs.
	Pool string
	// Priority orders the queues of a pool; 0 is the most important.
	Priority int
	// MaxAttempts is how many times a task may fail; 0 means not configured.
	MaxAttempts int
	// Stretch and Target set the objective for the duration of a job: Stretch times the job's
	// critical path, plus Target.
	Stretch float64
	Target  time.Duration
	// Timeout limits how long a caller waits for an answer.
	Timeout time.Duration
	// Advice is set if a policy service decides which hosts may run a step.
	Advice *Advice
	// AllowAnonymous reports whether callers need no key.
	AllowAnonymous bool
}

// Advice describes the policy service of a queue.
type Advice struct {
	// Decision is the fixed time that an answer takes, and PerHost the additional time for each
	// host that was asked about.
	Decision, PerHost time.Duration
	// Valid is how long a ticket may be used.
	Valid time.Duration
}

// Pool is a pool of hosts.
type Pool struct {
	Name string
	// EnforcesCapacity reports whether the pool's hosts refuse tasks that exceed their capacity.
	EnforcesCapacity bool
	// Standby reports whether the pool's machines are switched off.
	Standby bool
}

// Host is a row of the platform's list of hosts. The list may be out of date.
type Host struct {
	// ID identifies one instance of a host. A machine that restarts may get the same ID again;
	// Born then tells the instances apart.
	ID string
	// Address is the address at which the host accepts orders.
	Address string
	Pool    string
	Zone    string
	// Draining is true if the host will leave and accepts no new work.
	Draining bool
	// Capacity and Labels are what the host reports of itself. Rack is the label that names its
	// failure domain; it is empty if no label does.
	Capacity batch.Size
	Labels   []string
	Rack     string
	// Born is the start time of the instance, in milliseconds since 1970; 0 means unknown.
	Born int64
}

// Wave is an operator's request for maintenance of machines.
type Wave struct {
	Number   int64
	Machines []string
	// TimeLimit is the time within which the wave has to be completed.
	TimeLimit time.Duration
	// MaxDown is how many machines the wave may take down at the same time.
	MaxDown int
}

// MachineState is the state of a machine.
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
	// Host is the ID of the host that runs on the machine; it is empty if none does.
	Host string
}
