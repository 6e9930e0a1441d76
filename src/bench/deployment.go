package bench

import (
	"fmt"
	"time"

	"github.com/yuccaport/yuccaport/examples"
	"github.com/yuccaport/yuccaport/src/problem"
)

// Deployment is the shape of one user's mesh.
type Deployment struct {
	Name        string
	Region      string
	Domains     []string // failure domains, over which each service's servers are spread in turn
	Services    []Service
	Slots       int // requests that each backend server runs at once
	Connections int // connections that each backend server takes
	ConnectCost time.Duration
	WorkTime    time.Duration // time that a request takes at a backend server
}

// Service is one service of a deployment.
type Service struct {
	Name     string
	Servers  int
	Document []byte // TOML
}

// Hollins returns the deployment of Hollins & Daughters.
func Hollins() Deployment {
	return Deployment{
		Name: "hollins", Region: "midlands", Domains: []string{"mid-a", "mid-b", "mid-c"},
		Services: []Service{
			{Name: "bookings", Servers: 6, Document: example("hollins/bookings.toml")},
			{Name: "jobrecords", Servers: 4, Document: example("hollins/jobrecords.toml")},
		},
		Slots: 12, Connections: 120, ConnectCost: time.Millisecond, WorkTime: 5 * time.Millisecond,
	}
}

// Puntarenas returns the deployment of Servicio Municipal de Redes.
func Puntarenas() Deployment {
	return Deployment{
		Name: "puntarenas", Region: "pacifico-central", Domains: []string{"barrio-carmen", "chacarita", "el-roble"},
		Services: []Service{
			{Name: "mostrador", Servers: 7, Document: example("puntarenas/mostrador.toml")},
			{Name: "archivo-redes", Servers: 5, Document: example("puntarenas/archivo-redes.toml")},
		},
		Slots: 9, Connections: 130, ConnectCost: time.Millisecond, WorkTime: 5 * time.Millisecond,
	}
}

// DeploymentNamed returns a deployment by name, or an error of kind problem.Usage.
func DeploymentNamed(name string) (Deployment, error) {
	for _, d := range []Deployment{Hollins(), Puntarenas()} {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, problem.New(problem.Usage, "--deployment", fmt.Sprintf("no deployment %q", name), "use hollins or puntarenas")
}

// Synthetic returns a deployment of n daemons in services of at most ten servers, spread over domains in turn.
func Synthetic(n, domains int) Deployment {
	d := Deployment{Name: "synthetic", Region: "region-1", Slots: 12, Connections: 120, WorkTime: time.Millisecond}
	for i := range domains {
		d.Domains = append(d.Domains, fmt.Sprintf("domain-%d", i+1))
	}
	for i := 0; n > 0; i++ {
		servers := min(n, serversPerSyntheticService)
		name := fmt.Sprintf("service-%03d", i)
		d.Services = append(d.Services, Service{Name: name, Servers: servers, Document: SyntheticDocument(name, 0)})
		n -= servers
	}
	return d
}

const serversPerSyntheticService = 10

// SyntheticDocument returns a document of about a kilobyte; revision makes it differ from its neighbours.
func SyntheticDocument(service string, revision int) []byte {
	head := fmt.Sprintf("# revision %d\nservice = %q\nhosts = [%q]\n", revision, service, service+".example")
	routes := ""
	for i := range 8 {
		routes += fmt.Sprintf("[[route]]\nname = \"route-%d\"\nprefix = \"/path-%d\"\ntimeout = \"%dms\"\ndeadline = \"5s\"\nretry = { attempts = 2 }\n", i, i, 1000+revision%1000)
	}
	return []byte(head + routes)
}

func example(name string) []byte {
	b, err := examples.Files.ReadFile(name)
	if err != nil {
		panic(err) // the file is part of the build
	}
	return b
}
