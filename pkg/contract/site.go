package contract

// Site is the complete configuration of a site, which operators apply as one versioned document.
type Site struct {
	Name    string
	Version int64 // Version of the committed table row; 0 before the commit.

	CompletionWeight   float64 // 0 to 1: 0 favours low fragmentation, 1 favours short completion times.
	ReserveShare       float64 // Fraction of each hall's accelerators that guarantees may not use.
	ReclaimSeconds     int     // Time limit in seconds for returning borrowed guaranteed capacity, including checkpoints.
	SetAsideSeconds    int     // Waiting time in seconds after which a rack is reserved for a large gang.
	GiveUpAfterWorkers int     // Number of healthy workers on which a job may fail before it is failed (crash-looping).

	Halls      []Hall
	Upstreams  []Upstream
	Workspaces []Workspace
	Callers    []Caller
	Operators  []Operator
}

// Hall is one availability zone with its racks.
type Hall struct {
	Name   string
	Region string
	Racks  []Rack
}

// Rack is a group of workers whose accelerators are adjacent.
type Rack struct {
	Name    string
	Hall    string
	Workers []Worker
}

// Worker is a machine that runs the members of gangs.
type Worker struct {
	Name     string
	Rack     string
	Hall     string
	Address  string // Base URL, http://IP:port.
	Capacity Shape
}

// Upstream is a back end that answers small requests.
type Upstream struct {
	Name        string
	Hall        string
	Address     string // Base URL, http://IP:port.
	Slots       int    // Maximum number of requests that it processes at once.
	Connections int    // Maximum number of connections from all boxes together.
}

// Workspace is a customer with guaranteed capacity and a limit.
type Workspace struct {
	Name              string
	Share             float64 // Weight when capacity beyond the guarantees is divided.
	Blocks            int     // Number of guaranteed blocks; each block lies within one rack.
	BlockAccelerators int     // Number of adjacent accelerators in a block.
	LimitAccelerators int     // Maximum number of accelerators in use at once; 0 means no limit.
}

// Guaranteed returns the number of guaranteed accelerators of the workspace.
func (w Workspace) Guaranteed() int { return w.Blocks * w.BlockAccelerators }

// Caller is a client that may submit requests for its workspaces.
type Caller struct {
	Name       string
	Workspaces []string
	KeyHash    string // Hex SHA-256 of its key.
}

// Operator is a client that may query and change the system.
type Operator struct {
	Name    string
	KeyHash string // Hex SHA-256 of its key.
}

// Workspace returns the workspace with the given name and reports whether it exists.
func (s *Site) Workspace(name string) (Workspace, bool) {
	for _, w := range s.Workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}

// Upstream returns the upstream with the given name and reports whether it exists.
func (s *Site) Upstream(name string) (Upstream, bool) {
	for _, u := range s.Upstreams {
		if u.Name == name {
			return u, true
		}
	}
	return Upstream{}, false
}

// Hall returns the hall with the given name and reports whether it exists.
func (s *Site) Hall(name string) (Hall, bool) {
	for _, h := range s.Halls {
		if h.Name == name {
			return h, true
		}
	}
	return Hall{}, false
}

// Capacity returns the total capacity of the rack's workers.
func (r Rack) Capacity() Shape {
	var sum Shape
	for _, w := range r.Workers {
		sum = sum.Add(w.Capacity)
	}
	return sum
}

// Capacity returns the total capacity of the hall's racks.
func (h Hall) Capacity() Shape {
	var sum Shape
	for _, r := range h.Racks {
		sum = sum.Add(r.Capacity())
	}
	return sum
}

// GangFits reports whether a gang of that many members, each of the given shape, fits into the rack when it is empty.
func (r Rack) GangFits(members int, shape Shape) bool {
	fitting := 0
	for _, w := range r.Workers {
		fitting += shape.Copies(w.Capacity)
	}
	return fitting >= members
}
