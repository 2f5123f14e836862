package formation

import (
	"testing"
	"time"

	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/wire"
)

// TestColdServersAreNoHeads answers a group that is replaced during traffic by servers of which some have just started.
func TestColdServersAreNoHeads(t *testing.T) {
	now := time.Unix(1000, 0)
	model := &catalogue.Model{Name: "large", HostsPerGroup: 4}
	for _, tt := range []struct {
		name       string
		limitsCold bool
		// cold are the servers that are cold, of five; the last one has reported last.
		cold []int
		// want are the members, the head first.
		want []string
	}{
		{"none is cold", true, nil, []string{"4", "3", "2", "1"}},
		{"the latest is cold", true, []int{4}, []string{"3", "2", "1", "0"}},
		{"all but one are cold", true, []int{0, 2, 3, 4}, []string{"1", "4", "3", "2"}},
		{"all are cold", true, []int{0, 1, 2, 3, 4}, []string{"4", "3", "2", "1"}},
		{"cold servers aren't limited", false, []int{4}, []string{"4", "3", "2", "1"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cold := map[int]int64{}
			for _, i := range tt.cold {
				cold[i] = 5000
			}
			table := fleet.NewTable()
			d := &domain{}
			for i, id := range []string{"0", "1", "2", "3", "4"} {
				r := wire.Report{ID: id, Sequence: 1, Service: "engines", Address: id, Engine: true, Domain: "d", Staged: []string{"large"}, ColdMs: cold[i]}
				if _, err := table.Apply(now.Add(time.Duration(i)*time.Millisecond), r); err != nil {
					t.Fatal(err)
				}
				d.free = append(d.free, table.Server(id))
			}
			p := &planning{reconciler: New(Config{}), now: now.Add(10 * time.Millisecond), limitsCold: tt.limitsCold}
			var got []string
			for _, s := range p.chooseMembers(d, model) {
				got = append(got, s.Report().ID)
			}
			if len(got) != len(tt.want) {
				t.Fatalf("members %v, want %v", got, tt.want)
			}
			for i := range got {
				if got[i] != tt.want[i] {
					t.Fatalf("members %v, want %v", got, tt.want)
				}
			}
		})
	}
}
