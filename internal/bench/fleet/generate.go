package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Size is the size of a generated example.
type Size struct {
	// VMs is the number of entry VMs, all in one data centre, each with a
	// router and a controller; the first has the admin.
	VMs int
	// Engines is the number of engines.
	Engines int
	// Models is the number of models, each with Adapters adapters.
	Models, Adapters int
}

// Objects returns the number of models and adapters.
func (s Size) Objects() int {
	return s.Models * (1 + s.Adapters)
}

// modelsPerDeployment is the number of models in one generated deployment.
const modelsPerDeployment = 100

// Generate writes the settings of an example of a size to directory. The platform
// is at 127.0.0.1:8070 and the operators' API at 127.0.0.1:8090, as
// Fleet.StartAll and Fleet.Control expect.
func Generate(directory string, size Size) error {
	files := map[string]string{"standin": standinFile(size)}
	for i := range size.VMs {
		files[fmt.Sprintf("router-%d", i+1)] = nodeFile(i, 8300+i, 8400+i) + fmt.Sprintf("\n[callers]\nlisten = \"127.0.0.1:%d\"\n", 8080+i)
		files[fmt.Sprintf("controller-%d", i+1)] = nodeFile(i, 8500+i, 8600+i)
	}
	files["admin-1"] = nodeFile(0, 8150, 8160) + "\n[operators]\nlisten = \"127.0.0.1:8090\"\n"
	for from := 0; from < size.Models; from += modelsPerDeployment {
		name := "deployment"
		if from > 0 {
			name = fmt.Sprintf("deployment-%d", from/modelsPerDeployment)
		}
		files[name] = deploymentFile(size, from, min(from+modelsPerDeployment, size.Models))
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(directory, name+".toml"), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func nodeFile(vm, peer, ops int) string {
	return fmt.Sprintf(`[node]
vm = "vm-%d"
data_centre = "a"
region = "r"
peer_listen = "127.0.0.1:%d"
ops_listen = "127.0.0.1:%d"
log_level = "warn"

[platform]
address = "127.0.0.1:8070"
`, vm+1, peer, ops)
}

func standinFile(size Size) string {
	var b strings.Builder
	b.WriteString("listen = \"127.0.0.1:8070\"\n[membership]\nlag = \"2s\"\n")
	for i := range size.VMs {
		fmt.Fprintf(&b, "[[membership.vms]]\nid = \"vm-%d\"\nkind = \"entry\"\nregion = \"r\"\ndata_centre = \"a\"\n[membership.vms.processes]\nrouter = \"127.0.0.1:%d\"\ncontroller = \"127.0.0.1:%d\"\n", i+1, 8300+i, 8500+i)
		if i == 0 {
			b.WriteString("admin = \"127.0.0.1:8150\"\n")
		}
	}
	for i := range size.Engines {
		fmt.Fprintf(&b, "[[engines]]\nname = \"e-%d\"\nlisten = \"127.0.0.1:%d\"\nmemory_bytes = 40000000000\nchecks_fences = %t\ntokens_per_second = 100.0\nfirst_token = \"40ms\"\nmax_running = 16\nmax_queued = 64\nreport_lag = \"500ms\"\nlocal_load = \"200ms\"\nrestart_time = \"1s\"\n", i+1, 8700+i, i%3 != 2)
	}
	return b.String()
}

func deploymentFile(size Size, from, to int) string {
	var b strings.Builder
	part := from / modelsPerDeployment
	fmt.Fprintf(&b, "name = \"part-%d\"\n[[services]]\nname = \"pool-%d\"\nkind = \"SERVICE_KIND_ENGINES\"\n", part, part)
	if part == 0 {
		for i := range size.Engines {
			fmt.Fprintf(&b, "[[endpoints]]\nname = \"e-%d\"\nservice = \"pool-0\"\naddress = \"127.0.0.1:%d\"\ndata_centre = \"a\"\nchecks_fences = %t\n", i+1, 8700+i, i%3 != 2)
		}
	}
	for m := from; m < to; m++ {
		fmt.Fprintf(&b, "[[models]]\nname = \"model-%d\"\nversion = \"1\"\nservices = [\"pool-%d\"]\ncheckpoint_bytes = 2000000000\nmemory_bytes = 8000000000\nmax_replicas = 2\npriority = \"PRIORITY_CLASS_INTERACTIVE\"\ndefault_deadline = \"30s\"\n", m+1, part)
		for a := range size.Adapters {
			fmt.Fprintf(&b, "[[models.adapters]]\nname = \"model-%d-adapter-%d\"\nversion = \"1\"\nmemory_bytes = 200000000\n", m+1, a+1)
		}
	}
	return b.String()
}
