package reporting

import (
	"fmt"
	"testing"
)

// assign returns the address of each of n servers in every data centre, and the number of servers at each address.
func assign(d *Directory, dataCentres []string, n int) (of map[string]string, load map[string]int) {
	of, load = map[string]string{}, map[string]int{}
	for _, dc := range dataCentres {
		for i := range n {
			id := fmt.Sprintf("i-%s-%d", dc, i)
			of[id] = d.HostFor(id, dc)
			load[of[id]]++
		}
	}
	return of, load
}

// TestThreeThousandServers gives 3,000 servers of three data centres to five control hosts, of which one then ends.
func TestThreeThousandServers(t *testing.T) {
	dataCentres := []string{"a", "b", "c"}
	servers := map[string]int{"a": 1000, "b": 1000, "c": 1000}
	hosts := []Host{{"1", "a"}, {"2", "a"}, {"3", "b"}, {"4", "b"}, {"5", "c"}}
	before, load := assign(NewDirectory(hosts, servers), dataCentres, 1000)
	if len(load) != len(hosts) {
		t.Errorf("loads %v, want some at each host", load)
	}
	for address, n := range load {
		if n < 400 || n > 1200 {
			t.Errorf("host %s has %d of 3,000 servers", address, n)
		}
	}
	for id, address := range before {
		if local := map[byte]string{'a': "12", 'b': "34", 'c': "5"}[id[2]]; address[0] != local[0] && address[0] != local[len(local)-1] {
			t.Fatalf("%s reports to %s of another data centre", id, address)
		}
	}
	after, load := assign(NewDirectory(hosts[1:], servers), dataCentres, 1000)
	for id, address := range before {
		if address != "1" && after[id] != address {
			t.Fatalf("%s moved from %s to %s, which is still there", id, address, after[id])
		}
	}
	if load["2"] != 1000 {
		t.Errorf("the other host of the data centre has %d servers, want all 1,000", load["2"])
	}
}

// TestCrowdedDataCentre has one control host where nearly all servers are: the others take what it can't.
func TestCrowdedDataCentre(t *testing.T) {
	hosts := []Host{{"1", "a"}, {"2", "b"}, {"3", "b"}, {"4", "c"}, {"5", "c"}}
	_, load := assign(NewDirectory(hosts, map[string]int{"a": 3000}), []string{"a"}, 3000)
	for address, n := range load {
		if n > 1600 || n < 300 {
			t.Errorf("host %s has %d of 3,000 servers", address, n)
		}
	}
	if got := NewDirectory(hosts, nil).HostFor("i", "a"); got == "" {
		t.Error("no host for the first server that reports")
	}
	if got := NewDirectory(nil, nil).HostFor("i", "a"); got != "" {
		t.Errorf("host %s of none", got)
	}
}
