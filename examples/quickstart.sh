#!/usr/bin/env bash
# Runs a small fleet on loopback, fails a daemon and an engine under load, and
# exits 0 only if every answer was right and every planned stop graceful.
set -euo pipefail
cd "$(dirname "$0")/.."
WORK=$(mktemp -d)
BASE=${QUICKSTART_PORT:-18400}
declare -A PIDS
trap 'kill -9 "${PIDS[@]}" 2>/dev/null || true' EXIT

port() { echo "127.0.0.1:$((BASE + $1))"; }

start() { # start NAME COMMAND...: runs a process with its events in NAME.jsonl
  local name=$1
  shift
  "$@" 2>"$WORK/$name.jsonl" &
  PIDS[$name]=$!
}

write_settings() { # write_settings INDEX: settings of one daemon
  cat >"$WORK/host-$1.toml" <<EOF
[host]
name = "host-$1"
failure_domain = "domain-$1"
peer_address = "$(port $((20 + $1)))"
http_address = "$(port $((10 + $1)))"

[platform]
log = "$(port 0)"

[stop]
rotation_s = 0.3
EOF
}

echo "== start the stand-ins and three daemons"
start log python -m standins.log_service --address "$(port 0)"
start store python -m standins.weight_store --address "$(port 1)"
for i in 1 2 3; do
  start "engine-$i" python -m standins.engine --name "engine-$i" \
    --address "$(port $((30 + i)))" --store "$(port 1)" --token-s 0.02
done
for i in 1 2; do
  start "till-$i" python -m standins.plain_service --name "till-$i" \
    --address "$(port $((40 + i)))"
done
for i in 1 2 3; do
  write_settings "$i"
  start "host-$i" thornlatch serve "$WORK/host-$i.toml"
done

client() { PYTHONPATH=. python examples/quickstart/client.py --base "$BASE" "$@"; }

client publish
client wait
echo "== answers of a healthy fleet"
client show
echo "== kill host-1 and engine-1 while requests run"
client load --requests 60 >"$WORK/load.txt" &
LOAD=$!
sleep 1
kill -9 "${PIDS[host-1]}" "${PIDS[engine-1]}"
unset "PIDS[host-1]" "PIDS[engine-1]"
wait "$LOAD" || { cat "$WORK/load.txt"; exit 1; }
cat "$WORK/load.txt"
echo "== answers after the failures"
client show --skip 1
echo "== stop the rest gracefully"
for name in host-2 host-3; do
  kill -TERM "${PIDS[$name]}"
done
for name in host-2 host-3; do
  wait "${PIDS[$name]}" || { echo "$name did not stop gracefully"; exit 1; }
  unset "PIDS[$name]"
done
echo "== time line (last 12 events)"
thornlatch timeline "$WORK"/*.jsonl | tail -n 12
echo "every answer was right; logs are in $WORK"
