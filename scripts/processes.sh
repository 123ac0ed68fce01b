#!/usr/bin/env bash
# Runs the system as separate processes on loopback: the platform's stand-in,
# two entries, three sidecars and three minions. Rolls out the example bundle as
# two operators, submits both example jobs at one entry and again with the same
# keys at the other, takes a zone out and in, drains one entry by the bundle and
# stops each other process with SIGTERM, and checks every exit code. Exits 0 only when all of it went as it should.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly ready_seconds=20
readonly stop_seconds=30
readonly zones=(schwabing maxvorstadt garching)
work=$(mktemp -d)
declare -A pids=()

cleanup() {
	for name in "${!pids[@]}"; do
		kill -KILL "${pids[$name]}" 2>/dev/null || true
	done
	rm -rf "$work"
}
trap cleanup EXIT

fail() {
	echo "FAILED: $*" >&2
	for log in "$work"/*.log; do
		printf -- '--- %s\n' "$log" >&2
		tail -n 20 "$log" >&2
	done
	exit 1
}

# launch NAME ARGS... starts a process and waits until it listens.
launch() {
	local name=$1
	shift
	"$binary" "$@" >"$work/$name.out" 2>"$work/$name.log" &
	pids[$name]=$!
	for _ in $(seq $((ready_seconds * 20))); do
		grep -q '"message":"listening"' "$work/$name.log" && return
		kill -0 "${pids[$name]}" 2>/dev/null || fail "$name ended before it listened"
		sleep 0.05
	done
	fail "$name does not listen"
}

# address NAME FIELD prints an address from the process's line "listening".
address() {
	grep '"message":"listening"' "$work/$1.log" | head -n 1 | sed -E "s/.*\"$2\":\"([^\"]+)\".*/\1/"
}

# settings ROLE NAME ZONE NUMBER writes settings made from the examples, with
# free ports and this run's platform.
settings() {
	sed -E \
		-e "s|\"name\": \"(entry\|sidecar)-1\"|\"name\": \"$2\"|" \
		-e "s|\"zone\": \"schwabing\"|\"zone\": \"$3\"|" \
		-e "s|\"worker\": \"worker-1\"|\"worker\": \"worker-$4\"|" \
		-e "s|(Listen\": \")[^\"]*\"|\1127.0.0.1:0\"|" \
		-e '/"rpcAdvertise"/d' \
		-e "s|\"platformURL\": \"[^\"]*\"|\"platformURL\": \"http://$platform\"|" \
		-e 's|"readyDelay": "2s"|"readyDelay": "100ms"|' \
		"examples/settings/$1.jsonc" >"$work/$2.jsonc"
}

# field FILE NAME prints a text field of indented JSON.
field() {
	sed -nE "s/^  \"$2\": \"([^\"]+)\",?$/\1/p" "$1" | head -n 1
}

# stop NAME stops a process with SIGTERM and checks its exit code.
stop() {
	kill -TERM "${pids[$1]}"
	await_end "$1"
}

# await_end NAME waits for the end of a process and checks its exit code.
await_end() {
	local name=$1 pid=${pids[$1]} code=0
	for _ in $(seq $((stop_seconds * 20))); do
		kill -0 "$pid" 2>/dev/null || break
		sleep 0.05
	done
	if kill -0 "$pid" 2>/dev/null; then
		fail "$name still runs after $stop_seconds s"
	fi
	wait "$pid" || code=$?
	unset "pids[$name]"
	[ "$code" -eq 0 ] || fail "$name ended with $code"
	echo "  $name: exit 0"
}

echo "building"
mkdir -p bin
CGO_ENABLED=1 go build -tags netcgo -o bin/figring ./cmd/figring
binary=$PWD/bin/figring

echo "starting the platform, 2 entries, 3 sidecars and 3 minions"
launch platform standin-platform --listen 127.0.0.1:0
platform=$(address platform address)
for number in 1 2; do
	settings entry "entry-$number" "${zones[number - 1]}" "$number"
	launch "entry-$number" entry --settings "$work/entry-$number.jsonc"
done
for number in 1 2 3; do
	settings sidecar "sidecar-$number" "${zones[number - 1]}" "$number"
	launch "sidecar-$number" sidecar --settings "$work/sidecar-$number.jsonc"
	launch "minion-$number" standin-minion --listen 127.0.0.1:0 --name "minion-$number" \
		--worker "worker-$number" --zone "${zones[number - 1]}" \
		--ledger-file "$work/minion-$number.ledger" \
		--announce "http://$(address "sidecar-$number" announce)"
done

export FIGRING_TOKEN=caller-token
operators="--operators http://$(address entry-1 operators)"
as_anna() { FIGRING_OPERATOR_TOKEN=anna-token "$binary" "$@" $operators; }
as_bert() { FIGRING_OPERATOR_TOKEN=bert-token "$binary" "$@" $operators; }

echo "waiting until the entries and the minions are ready"
for attempt in $(seq $((ready_seconds * 5))); do
	as_anna status >"$work/status.out" 2>/dev/null || true
	[ "$(grep -cE '^entry-[12] .* yes +no ' "$work/status.out")" -eq 2 ] &&
		[ "$(grep -cE '^sidecar-[123] .* ready ' "$work/status.out")" -eq 3 ] && break
	[ "$attempt" -lt $((ready_seconds * 5)) ] || fail "not ready in $ready_seconds s"
	sleep 0.2
done

echo "rolling out examples/settings/bundle.jsonc as two operators"
as_anna bundle propose --output json examples/settings/bundle.jsonc >"$work/proposal.json" || fail "propose"
proposal=$(field "$work/proposal.json" id)
as_bert bundle sign-off "$proposal" >/dev/null || fail "sign-off"
as_anna bundle roll-out "$proposal" || fail "roll-out"

first="--entry http://$(address entry-1 callers)"
second="--entry http://$(address entry-2 callers)"
for job in nomination-desk subscription-desk; do
	echo "submitting $job at entry-1, and again with the same key at entry-2"
	timeout 60 "$binary" submit $first --output json "examples/jobs/$job.json" >"$work/$job.1" || fail "$job"
	key=$(field "$work/$job.1" key)
	timeout 60 "$binary" submit $second --output json --key "$key" "examples/jobs/$job.json" >"$work/$job.2" || fail "$job again"
	cmp -s "$work/$job.1" "$work/$job.2" || fail "$job: the second answer differs"
	"$binary" show $second "$key"
done

# Each task was started once, by the ledgers of the minions: a line for its start
# and a line for its end.
starts=$(($(cat "$work"/minion-*.ledger | wc -l) / 2))
tasks=$(cat examples/jobs/*.json | grep -c '"class"')
[ "$starts" -eq "$tasks" ] || fail "$starts starts of $tasks tasks"

echo "taking zone garching out and in"
as_anna zone close garching || fail "zone close"
timeout 60 "$binary" submit $second --output json examples/jobs/nomination-desk.json >"$work/closed" || fail "job with a closed zone"
! grep -q '"worker": "worker-3"' "$work/closed" || fail "a task was started in the closed zone"
as_anna zone open garching || fail "zone open"
as_anna status

echo "draining entry-2 by the bundle"
as_anna drain entry entry-2 || fail "drain entry"
await_end entry-2
timeout 60 "$binary" submit $first --output json examples/jobs/subscription-desk.json >"$work/drained" || fail "job after the drain"

echo "stopping each other process with SIGTERM"
for name in entry-1 minion-1 minion-2 minion-3 sidecar-1 sidecar-2 sidecar-3 platform; do
	stop "$name"
done
echo "OK: $tasks tasks answered, each started once; 9 processes ended with 0"
