package contract

// Site is the whole configuration that operators apply: one versioned document.
type Site struct {
	Name    string
	Version int64 // Version of the committed row; 0 before it is committed.

	CompletionWeight   float64 // 0 favours low fragmentation, 1 favours short completion times.
	ReserveShare       float64 // Share of each hall's accelerators that no guarantee may use.
	ReclaimSeconds     int     // Bound in seconds for giving a guarantee back with checkpoints.
	SetAsideSeconds    int     // Age in seconds from which a waiting large gang gets a rack set aside.
	GiveUpAfterWorkers int     // Healthy workers that a job may fail on before it is given up.

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

// Rack is a group of workers with adjacent accelerators.
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

// Upstream is an executor that answers small requests.
type Upstream struct {
	Name        string
	Hall        string
	Address     string // Base URL, http://IP:port.
	Slots       int    // Requests it works on at once.
	Connections int    // Connections it takes from all boxes together.
}

// Workspace is a customer with a guarantee and a limit.
type Workspace struct {
	Name              string
	Share             float64 // Weight in the order beyond guarantees.
	Blocks            int     // Guaranteed blocks, each whole inside one rack.
	BlockAccelerators int     // Adjacent accelerators in a block.
	LimitAccelerators int     // Most accelerators in use at once; 0 means no limit.
}

// Guaranteed returns the guaranteed accelerators of the workspace.
func (w Workspace) Guaranteed() int { return w.Blocks * w.BlockAccelerators }

// Caller may submit requests for its workspaces.
type Caller struct {
	Name       string
	Workspaces []string
	KeyHash    string // Hex SHA-256 of its key.
}

// Operator may ask and command.
type Operator struct {
	Name    string
	KeyHash string // Hex SHA-256 of its key.
}

// Workspace returns the workspace of that name.
func (s *Site) Workspace(name string) (Workspace, bool) {
	for _, w := range s.Workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}

// Upstream returns the upstream of that name.
func (s *Site) Upstream(name string) (Upstream, bool) {
	for _, u := range s.Upstreams {
		if u.Name == name {
			return u, true
		}
	}
	return Upstream{}, false
}

// Hall returns the hall of that name.
func (s *Site) Hall(name string) (Hall, bool) {
	for _, h := range s.Halls {
		if h.Name == name {
			return h, true
		}
	}
	return Hall{}, false
}

// Capacity returns the sum over the rack's workers.
func (r Rack) Capacity() Shape {
	var sum Shape
	for _, w := range r.Workers {
		sum = sum.Add(w.Capacity)
	}
	return sum
}

// Capacity returns the sum over the hall's racks.
func (h Hall) Capacity() Shape {
	var sum Shape
	for _, r := range h.Racks {
		sum = sum.Add(r.Capacity())
	}
	return sum
}

// GangFits reports whether a gang of members of one shape can ever be whole inside the rack when it is empty.
func (r Rack) GangFits(members int, shape Shape) bool {
	room := 0
	for _, w := range r.Workers {
		room += shape.Copies(w.Capacity)
	}
	return room >= members
}
