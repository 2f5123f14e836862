// Command standin emulates a backend server: a model engine or a plain service. Over HTTP, POST /faults
// switches on faults, GET /stats returns the counts, and POST /leaving sets whether the server announces that it is
// leaving.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/standin"
)

func main() {
	if err := newRoot().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func newRoot() *cobra.Command {
	var cfg standin.Config
	count := 1
	cmd := &cobra.Command{
		Use:          "standin",
		Short:        "Runs one emulated backend server",
		Example:      "  standin --host engine-1 --listen 127.0.0.1:7001 --fabric-domain a-1 --entry-hosts 127.0.0.1:8081",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(*cobra.Command, []string) error { return run(cfg, count) },
	}
	f := cmd.Flags()
	f.StringVar(&cfg.Host, "host", "engine-1", "name of the host")
	f.StringVar(&cfg.Listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringVar(&cfg.DataCentre, "data-centre", "local", "data centre")
	f.StringVar(&cfg.FabricDomain, "fabric-domain", "", "fabric domain")
	f.StringVar(&cfg.Kind, "kind", savorywing.KindEngine, "engine or service")
	f.StringVar(&cfg.Service, "service", "", "name of the plain service")
	f.Uint64Var(&cfg.Accelerators, "accelerators", 1, "accelerators")
	f.BoolVar(&cfg.ChecksFencing, "checks-fencing", true, "reject orders with an old fencing token")
	f.BoolVar(&cfg.Resumable, "resumes", true, "report that streams can be resumed on a new connection")
	f.IntVar(&cfg.Slots, "slots", 16, "maximum number of requests in one batch")
	f.DurationVar(&cfg.FirstToken, "first-token", 50*time.Millisecond, "time to the first token")
	f.DurationVar(&cfg.TokenTime, "token-time", 20*time.Millisecond, "time between tokens")
	f.DurationVar(&cfg.LoadTime, "load-time", 500*time.Millisecond, "time to load a model")
	f.DurationVar(&cfg.AnnounceInterval, "announce-every", 500*time.Millisecond, "interval between announcements")
	f.IntVar(&count, "count", 1, "emulated servers in this process; with more than one, their names get -1, -2 and so on, and each listens on any port")
	f.StringSliceVar(&cfg.EntryHosts, "entry-hosts", nil, "addresses of the entry hosts behind the balancer")
	return cmd
}

func run(cfg standin.Config, count int) error {
	servers, err := start(cfg, count)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	for _, s := range servers {
		if err := s.Stop(); err != nil {
			return err
		}
	}
	return nil
}

func start(cfg standin.Config, count int) ([]*standin.Server, error) {
	var servers []*standin.Server
	name := cfg.Host
	for i := range count {
		if count > 1 {
			cfg.Host, cfg.Listen = fmt.Sprintf("%s-%d", name, i+1), "127.0.0.1:0"
		}
		s, err := standin.Start(cfg)
		if err != nil {
			return nil, err
		}
		fmt.Println(s.Address())
		servers = append(servers, s)
	}
	return servers, nil
}
