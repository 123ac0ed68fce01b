#!/usr/bin/env bash
# End-to-end test with separate processes on the loopback interface: a stand-in
# for the platform, two entries, three sidecars and three minions. Rolls out the
# example bundle as two operators, submits both example jobs to one entry and
# again with the same keys to the other, closes and reopens a zone, drains one
# entry through the bundle, stops the other processes with SIGTERM and checks
# every exit code. Exits with 0 only if every step succeeds.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly ready_seconds=20
readonly stop_seconds=30
readonly zones=(schwabing maxvorstadt garching)
work_dir=$(mktemp -d)
declare -A pids=()

cleanup() {
	for name in "${!pids[@]}"; do
		kill -KILL "${pids[$name]}" 2>/dev/null || true
	done
	rm -rf "$work_dir"
}
trap cleanup EXIT

fail() {
	echo "FAILED: $*" >&2
	for log in "$work_dir"/*.log; do
		printf -- '--- %s\n' "$log" >&2
		tail -n 20 "$log" >&2
	done
	exit 1
}

# start_process NAME ARGS... starts a process and waits until it listens.
start_process() {
	local name=$1
	shift
	"$binary" "$@" >"$work_dir/$name.out" 2>"$work_dir/$name.log" &
	pids[$name]=$!
	for _ in $(seq $((ready_seconds * 20))); do
		grep -q '"message":"listening"' "$work_dir/$name.log" && return
		kill -0 "${pids[$name]}" 2>/dev/null || fail "$name exited before it listened"
		sleep 0.05
	done
	fail "$name does not listen"
}

# listen_address NAME FIELD prints an address from the "listening" log line of a
# process.
listen_address() {
	grep '"message":"listening"' "$work_dir/$1.log" | head -n 1 | sed -E "s/.*\"$2\":\"([^\"]+)\".*/\1/"
}

# write_settings ROLE NAME ZONE NUMBER writes the settings file of a process,
# which is the example file with free ports and the URL of this run's platform.
write_settings() {
	sed -E \
		-e "s|\"name\": \"(entry\|sidecar)-1\"|\"name\": \"$2\"|" \
		-e "s|\"zone\": \"schwabing\"|\"zone\": \"$3\"|" \
		-e "s|\"worker\": \"worker-1\"|\"worker\": \"worker-$4\"|" \
		-e "s|(Listen\": \")[^\"]*\"|\1127.0.0.1:0\"|" \
		-e '/"rpcAdvertise"/d' \
		-e "s|\"platformURL\": \"[^\"]*\"|\"platformURL\": \"http://$platform\"|" \
		-e 's|"readyDelay": "2s"|"readyDelay": "100ms"|' \
		"examples/settings/$1.jsonc" >"$work_dir/$2.jsonc"
}

# json_field FILE NAME prints a top-level string field of an indented JSON file.
json_field() {
	sed -nE "s/^  \"$2\": \"([^\"]+)\",?$/\1/p" "$1" | head -n 1
}

# stop_process NAME stops a process with SIGTERM and checks its exit code.
stop_process() {
	kill -TERM "${pids[$1]}"
	await_exit "$1"
}

# await_exit NAME waits until a process exits and checks its exit code.
await_exit() {
	local name=$1 pid=${pids[$1]} code=0
	for _ in $(seq $((stop_seconds * 20))); do
		kill -0 "$pid" 2>/dev/null || break
		sleep 0.05
	done
	if kill -0 "$pid" 2>/dev/null; then
		fail "$name is still running after $stop_seconds s"
	fi
	wait "$pid" || code=$?
	unset "pids[$name]"
	[ "$code" -eq 0 ] || fail "$name exited with $code"
	echo "  $name: exit 0"
}

echo "building"
mkdir -p bin
CGO_ENABLED=1 go build -tags netcgo -o bin/figring ./cmd/figring
binary=$PWD/bin/figring

echo "starting the platform, 2 entries, 3 sidecars and 3 minions"
start_process platform standin-platform --listen 127.0.0.1:0
platform=$(listen_address platform address)
for number in 1 2; do
	write_settings entry "entry-$number" "${zones[number - 1]}" "$number"
	start_process "entry-$number" entry --settings "$work_dir/entry-$number.jsonc"
done
for number in 1 2 3; do
	write_settings sidecar "sidecar-$number" "${zones[number - 1]}" "$number"
	start_process "sidecar-$number" sidecar --settings "$work_dir/sidecar-$number.jsonc"
	start_process "minion-$number" standin-minion --listen 127.0.0.1:0 --name "minion-$number" \
		--worker "worker-$number" --zone "${zones[number - 1]}" \
		--ledger-file "$work_dir/minion-$number.ledger" \
		--announce "http://$(listen_address "sidecar-$number" announce)"
done

export FIGRING_TOKEN=caller-token
operators="--operators http://$(listen_address entry-1 operators)"
as_anna() { FIGRING_OPERATOR_TOKEN=anna-token "$binary" "$@" $operators; }
as_bert() { FIGRING_OPERATOR_TOKEN=bert-token "$binary" "$@" $operators; }

echo "waiting until the entries and the minions are ready"
for attempt in $(seq $((ready_seconds * 5))); do
	as_anna status >"$work_dir/status.out" 2>/dev/null || true
	[ "$(grep -cE '^entry-[12] .* yes +no ' "$work_dir/status.out")" -eq 2 ] &&
		[ "$(grep -cE '^sidecar-[123] .* ready ' "$work_dir/status.out")" -eq 3 ] && break
	[ "$attempt" -lt $((ready_seconds * 5)) ] || fail "not ready in $ready_seconds s"
	sleep 0.2
done

echo "rolling out examples/settings/bundle.jsonc as two operators"
as_anna bundle propose --output json examples/settings/bundle.jsonc >"$work_dir/proposal.json" || fail "propose"
proposal=$(json_field "$work_dir/proposal.json" id)
as_bert bundle sign-off "$proposal" >/dev/null || fail "sign-off"
as_anna bundle roll-out "$proposal" || fail "roll-out"

entry_1="--entry http://$(listen_address entry-1 callers)"
entry_2="--entry http://$(listen_address entry-2 callers)"
for job in nomination-desk subscription-desk; do
	echo "submitting $job to entry-1, and again with the same key to entry-2"
	timeout 60 "$binary" submit $entry_1 --output json "examples/jobs/$job.json" >"$work_dir/$job.1" || fail "$job"
	key=$(json_field "$work_dir/$job.1" key)
	timeout 60 "$binary" submit $entry_2 --output json --key "$key" "examples/jobs/$job.json" >"$work_dir/$job.2" || fail "$job again"
	cmp -s "$work_dir/$job.1" "$work_dir/$job.2" || fail "$job: the second answer differs"
	"$binary" show $entry_2 "$key"
done

# The ledgers of the minions show that each task was started once. A ledger has
# two lines for a task, one for its start and one for its end.
starts=$(($(cat "$work_dir"/minion-*.ledger | wc -l) / 2))
tasks=$(cat examples/jobs/*.json | grep -c '"class"')
[ "$starts" -eq "$tasks" ] || fail "$starts starts of $tasks tasks"

echo "closing and reopening zone garching"
as_anna zone close garching || fail "zone close"
timeout 60 "$binary" submit $entry_2 --output json examples/jobs/nomination-desk.json >"$work_dir/closed" || fail "job with a closed zone"
! grep -q '"worker": "worker-3"' "$work_dir/closed" || fail "a task was started in the closed zone"
as_anna zone open garching || fail "zone open"
as_anna status

echo "draining entry-2 through the bundle"
as_anna drain entry entry-2 || fail "drain entry"
await_exit entry-2
timeout 60 "$binary" submit $entry_1 --output json examples/jobs/subscription-desk.json >"$work_dir/drained" || fail "job after the drain"

echo "stopping the other processes with SIGTERM"
for name in entry-1 minion-1 minion-2 minion-3 sidecar-1 sidecar-2 sidecar-3 platform; do
	stop_process "$name"
done
echo "OK: $tasks tasks answered, each started once; 9 processes exited with 0"
