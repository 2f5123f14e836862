#!/usr/bin/env bash
# Measures the overhead of the control traffic in a daemon: starts DAEMONS daemons (at most five of them voters) and
# ENGINES emulated engines in groups of four, waits until they serve, and samples CPU time, memory and bytes sent
# and received over SECONDS_IDLE seconds without load. With APPLY=1 it then applies five configuration changes and measures
# the time from the acceptance of each until the last daemon has applied it. With TOKENS=1 it sends long streams
# through one daemon and measures its CPU time per token.
set -euo pipefail
cd "$(dirname "$0")/../.."
DAEMONS=${DAEMONS:-3}
ENGINES=${ENGINES:-16}
SECONDS_IDLE=${SECONDS_IDLE:-10}
work=$(mktemp -d)
pids=()
stop() {
	trap - EXIT INT TERM
	for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -rf "$work"
}
trap stop EXIT INT TERM
printf 'key: {organisation: o, class: c}\n' >"$work/keys"
printf 'token\n' >"$work/token"
chmod 600 "$work/keys" "$work/token"
{
	echo "dataCentres: {centre: {region: here}}"
	echo "organisations: {o: {share: 1}}"
	echo 'classes: {c: {timeZone: UTC, windows: {always: {from: "00:00", to: "24:00", firstToken: 10s, betweenTokens: 2s, wholeAnswer: 300s}}}}'
	echo "models: {m: {version: \"1\", span: 4, replicas: $((ENGINES / 4))}}"
	echo "planning: {loadsAtOnce: 1000}"
	echo "limits: {groupRequests: 1000}"
	echo "hosts:"
	for i in $(seq 1 "$DAEMONS"); do
		roles="entry"
		[ "$i" -le 5 ] && [ "$i" -le $(((DAEMONS + 1) / 2 * 2 - 1)) ] && roles="entry, control"
		echo "  d$i: {dataCentre: centre, peers: \"127.0.0.1:$((20000 + i))\", roles: [$roles]}"
	done
} >"$work/shared.yaml"
entries=""
for i in $(seq 1 "$DAEMONS"); do
	mkdir "$work/d$i"
	cp "$work/shared.yaml" "$work/d$i/10.yaml"
	cat >"$work/d$i/20.yaml" <<YAML
daemon: {host: d$i, callers: "127.0.0.1:$((21000 + i))", peers: "127.0.0.1:$((20000 + i))", operators: "127.0.0.1:$((22000 + i))", keysFile: $work/keys, operatorsFile: $work/token, dataFolder: $work/data$i, logLevel: warn}
YAML
	bin/savorywing serve --settings "$work/d$i" 2>"$work/d$i.log" &
	pids+=($!)
	entries="$entries${entries:+,}127.0.0.1:$((21000 + i))"
done
for d in $(seq 1 $((ENGINES / 4))); do
	bin/standin --count 4 --host "e$d" --fabric-domain "f$d" --load-time 0s --first-token "${FIRST_TOKEN:-1ms}" --token-time "${TOKEN_TIME:-0s}" --slots 256 \
		--announce-every 1s --entry-hosts "$entries" >/dev/null &
	pids+=($!)
done
cli() { bin/savorywing "$1" "${@:3}" --operators "127.0.0.1:$((22000 + $2))" --token-file "$work/token"; }
for i in $(seq 1 "$DAEMONS"); do
	for _ in $(seq 1 300); do
		[ "$(cli groups "$i" 2>/dev/null | grep -c ' true ')" = $((ENGINES / 4)) ] && break
		sleep 0.2
	done
done
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
bytes() { cli status "$1" --json | python3 -c 'import json,sys; c=json.load(sys.stdin)["control"]; print(c["peers"]["sent"]+c["peers"]["received"], c["pollsSent"]+c["pollsReceived"], c["peers"]["messages"])'; }
for who in 1 "$DAEMONS"; do
	pid=${pids[$((who - 1))]}
	t0=$(ticks "$pid")
	read -r p0 q0 m0 <<<"$(bytes "$who")"
	sleep "$SECONDS_IDLE"
	t1=$(ticks "$pid")
	read -r p1 q1 m1 <<<"$(bytes "$who")"
	echo "daemons $DAEMONS engines $ENGINES d$who: core $(python3 -c "print(round(($t1-$t0)/$SECONDS_IDLE,2))")% rss $(($(rss "$pid") / 1024)) MB, peers $(((p1 - p0) / SECONDS_IDLE)) B/s in $(((m1 - m0) / SECONDS_IDLE)) messages, polls $(((q1 - q0) / SECONDS_IDLE)) B/s"
done
if [ -n "${APPLY:-}" ]; then
	mkdir "$work/change" && cp "$work/d1"/*.yaml "$work/change/"
	for n in 1 2 3 4 5; do
		echo "limits: {claims: $((1000 + n))}" >"$work/change/30.yaml"
		bin/savorywing apply "$work/change" --follows $((n - 1)) --operators 127.0.0.1:22001 --token-file "$work/token" >/dev/null
		began=$(date +%s%N)
		for i in $(seq 1 "$DAEMONS"); do
			until cli config "$i" get 2>/dev/null | grep -q "^# configuration $n\$"; do :; done
		done
		echo "daemons $DAEMONS: applied by the last one $((($(date +%s%N) - began) / 1000000)) ms after acceptance"
	done
fi
if [ -n "${TOKENS:-}" ]; then
	for n in 2 4 8; do
		pid=${pids[0]}
		t0=$(ticks "$pid")
		bin/savorywing bench load --callers 127.0.0.1:21001 --key key --model m --tokens 1000 --rate "$n" --duration 10s --stream-share 1 | grep sent
		t1=$(ticks "$pid")
		echo "tokens $((n * 10 * 1000)): $(python3 -c "print(round(($t1-$t0)*1e7/($n*10*1000)/1000,2))") us of CPU time per token, rss $(($(rss "$pid") / 1024)) MB"
	done
fi
