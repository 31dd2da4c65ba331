// Command standin plays a case of the review: it starts hosts of the project as separate
// processes, against stand-ins for the platform's store, workers and clients, and checks a
// rule of the users' pages.
package main

import (
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld     = 0
	ruleBroken   = 1
	caseNotValid = 2
)

// deployment is a small deployment of the project.
type deployment struct {
	folder  string
	subnet  string
	rec     *record
	store   *store
	fleet   *fleet
	advice  *advice
	clients *clients
	hosts   []*host
	// storeAddress is the address of the store, peerPartition the partition between the
	// hosts.
	storeAddress  string
	peerPartition partition
}

// ip returns a loopback address of this run.
func (d *deployment) ip(n int) string { return fmt.Sprintf("%s.%d", d.subnet, n) }

// newDeployment starts a deployment and waits until all hosts are ready.
func newDeployment(rec *record, folder string, s setup) (*deployment, error) {
	pid := os.Getpid()
	d := &deployment{folder: folder, subnet: fmt.Sprintf("127.%d.%d", 64+pid>>8&0x3f, pid&0xff), rec: rec, store: newStore(rec), advice: &advice{calls: map[string]int{}}}
	d.clients = newClients(rec, d.rotation)
	d.fleet = newFleet(rec, d.store, "crew", d.clients.demandOf)
	d.fleet.advised = s.advised
	policy := ""
	if s.advised {
		policy = fmt.Sprintf(`,"advice":{"decide_ms":%g,"period_ms":%g,"valid_ms":%d}`, adviceDecide.Seconds()*1000, advicePeriod.Seconds()*1000, adviceValid.Milliseconds())
	}
	d.store.write("op/config", []byte(`{"version":1,"routes":[{"name":"r-jobs","host":"`+hostName+`","prefix":"`+prefix+`","kind":"non_idempotent","timeout_ms":3000,"slo_ms":3000,"priority":1,"service":"crew","attempts":3,"stretch":4.0`+policy+`}],"services":[{"name":"crew","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"admission_check":false,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`))
	server, err := serveGate(d.ip(1), d.store)
	if err != nil {
		return d, err
	}
	d.storeAddress = server.address()
	for i := range s.workers {
		if _, err := d.fleet.add(d.ip(2), fmt.Sprintf("i-%08x", 0x7f3a0000+i), workerCPU, workerMem, []string{"a", fmt.Sprintf("r1-%d", i/8)}); err != nil {
			return d, err
		}
	}
	for i := range s.hosts {
		h, err := d.addHost(i)
		if err != nil {
			return d, err
		}
		d.hosts = append(d.hosts, h)
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range d.hosts {
			if h.isReady() {
				ready++
			}
		}
		if ready == s.hosts {
			break
		}
		if time.Now().After(deadline) {
			return d, fmt.Errorf("%d of %d hosts are ready", ready, s.hosts)
		}
	}
	go d.checkReadiness()
	time.Sleep(time.Second)
	rec.add("%d hosts are ready, %d workers", s.hosts, s.workers)
	return d, nil
}

// maxMisses is the number of missed readiness checks after which a host gets no new
// connections.
const maxMisses = 2

// checkReadiness checks once per second which hosts are ready, as the platform does.
func (d *deployment) checkReadiness() {
	for range time.Tick(time.Second) {
		for _, h := range d.hosts {
			go func() {
				ready := h.isReady()
				h.mu.Lock()
				defer h.mu.Unlock()
				if ready {
					h.misses = 0
				} else {
					h.misses++
				}
				if h.misses == maxMisses {
					d.rec.add("host %s is not ready", h.name)
				}
			}()
		}
	}
}

// rotation returns the hosts that get new connections: those that are ready, or all if
// fewer than half are.
func (d *deployment) rotation() []*host {
	var ready []*host
	for _, h := range d.hosts {
		h.mu.Lock()
		if h.misses < maxMisses {
			ready = append(ready, h)
		}
		h.mu.Unlock()
	}
	if 2*len(ready) < len(d.hosts) {
		return d.hosts
	}
	return ready
}

// Capacity of a worker.
const (
	workerCPU = 16000
	workerMem = 32768
)

// close ends all hosts.
func (d *deployment) close() {
	for _, h := range d.hosts {
		h.kill()
		_ = h.log.Close()
	}
}

// verdict records and prints the breaches, and returns the exit code.
func (d *deployment) verdict(rule string, breaches []string) int {
	d.rec.add("%s: %d breaches", rule, len(breaches))
	for i, b := range breaches {
		d.rec.add("  %s", b)
		if i < 3 {
			fmt.Println(b)
		}
	}
	if len(breaches) > 0 {
		fmt.Printf("%s broken, %d times\n", rule, len(breaches))
		return ruleBroken
	}
	fmt.Printf("%s held\n", rule)
	return ruleHeld
}

// caseFunc plays a case and returns the exit code.
type caseFunc func(d *deployment, trouble bool) (int, error)

// setup is a case with the size of its deployment.
type setup struct {
	hosts, workers int
	play           caseFunc
	// advised means that the queue has advice.
	advised bool
}

func main() {
	name := flag.String("case", "", "name of the case")
	file := flag.String("record", "record.txt", "file with what was sent, answered and run")
	keep := flag.String("keep", "", "folder for the hosts' logs; a temporary one if empty")
	flag.Parse()
	os.Exit(run1(*name, *file, *keep))
}

// run1 plays one case.
func run1(name, file, keep string) int {
	s, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return caseNotValid
	}
	folder := keep
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "review"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return caseNotValid
		}
		defer os.RemoveAll(folder)
	}
	if err := errors.Join(os.MkdirAll(folder, 0o755), os.MkdirAll(filepath.Dir(file), 0o755)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return caseNotValid
	}
	rec, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return caseNotValid
	}
	defer rec.close()
	http.DefaultTransport = nil
	d, err := newDeployment(rec, folder, s)
	defer d.close()
	code := caseNotValid
	if err == nil {
		code, err = s.play(d, os.Getenv("TROUBLE") != "0")
	}
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return caseNotValid
	}
	return code
}
