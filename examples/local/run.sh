#!/usr/bin/env bash
# Starts five daemons, eight emulated engines and two plain services as processes on loopback, sends a
# load, prints the state and stops everything. DURATION and RATE set the load. KEEP=1 keeps everything running
# without a load. FAULTS=1 freezes a member of a group for 8 s, 10 s after the load started, and kills an entry
# host that is a voter after 25 s.
set -euo pipefail
cd "$(dirname "$0")/../.."
DURATION=${DURATION:-60s}
RATE=${RATE:-40}
go build -o bin/ ./cmd/...
work=$(mktemp -d)
pids=()
stop() {
	trap - EXIT INT TERM
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	wait || true
	rm -rf "$work"
}
trap stop EXIT INT TERM

printf 'key-north: {organisation: north-college, class: counter}\nkey-river: {organisation: river-works, class: reports}\n' >"$work/keys"
printf 'local-operators-token\n' >"$work/token"
chmod 600 "$work/keys" "$work/token"
entries=""
for i in 1 2 3 4 5; do
	mkdir -p "$work/entry-$i"
	cp examples/local/*.yaml "$work/entry-$i/"
	cat >"$work/entry-$i/90-daemon.yaml" <<YAML
daemon:
  host: entry-$i
  callers: 127.0.0.1:808$i
  peers: 127.0.0.1:908$i
  operators: 127.0.0.1:918$i
  keysFile: $work/keys
  operatorsFile: $work/token
  dataFolder: $work/data-$i
YAML
	bin/savorywing serve --settings "$work/entry-$i" 2>"$work/entry-$i.log" &
	pids+=($!)
	entries="$entries${entries:+,}127.0.0.1:808$i"
done
for i in 1 2 3 4 5 6 7 8; do
	domain=$(((i + 3) / 4))
	centre=$([ "$domain" = 1 ] && echo centre-a || echo centre-b)
	checks=$([ "$domain" = 1 ] && echo true || echo false)
	bin/standin --host "engine-$i" --listen "127.0.0.1:700$i" --data-centre "$centre" --fabric-domain "fabric-$domain" \
		--checks-fencing="$checks" --entry-hosts "$entries" >/dev/null &
	pids+=($!)
done
for i in 1 2; do
	bin/standin --host "register-$i" --kind service --service register --listen "127.0.0.1:710$i" --data-centre centre-c \
		--first-token 5ms --entry-hosts "$entries" >/dev/null &
	pids+=($!)
done

echo "waiting until every entry host can reach two serving groups"
for i in 1 2 3 4 5; do
	for _ in $(seq 1 150); do
		serving=$(bin/savorywing groups --operators "127.0.0.1:918$i" --token-file "$work/token" 2>/dev/null | grep -c ' true ' || true)
		[ "$serving" = 2 ] && break
		sleep 0.2
	done
done
bin/savorywing groups --operators 127.0.0.1:9185 --token-file "$work/token"
if [ -n "${KEEP:-}" ]; then
	echo "state in $work; stop with Ctrl-C"
	wait
fi
if [ -n "${FAULTS:-}" ]; then
	(
		sleep 10
		kill -STOP "${pids[6]}"
		sleep 8
		kill -CONT "${pids[6]}"
		sleep 7
		kill -9 "${pids[2]}"
	) &
fi
bin/savorywing bench load --callers "$entries" --key key-north,key-river --model ledger --service-path /register/tags \
	--duration "$DURATION" --rate "$RATE"
echo
bin/savorywing status --operators 127.0.0.1:9181 --token-file "$work/token"
