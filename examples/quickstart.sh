#!/usr/bin/env bash
# Runs the whole system on loopback: three daemons as three data centres and
# four stand-in backend servers. Shows requests through every entry host, the
# loss of a backend server and a graceful stop.
set -euo pipefail
cd "$(dirname "$0")/.."
repo=$PWD
work=$(mktemp -d)
pids=()

cleanup() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT

fail() {
  echo "quickstart: $*" >&2
  tail -n 20 "$work"/*.log >&2 || true
  exit 1
}

# wait_for DESCRIPTION COMMAND... tries the command for up to 20 s.
wait_for() {
  local what=$1; shift
  for _ in $(seq 200); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  fail "timed out waiting for $what"
}

request() { # HOST-NUMBER NAME PATH [HEADER]
  curl -sS --fail --max-time 5 -H "Host: $2" ${4:+-H "$4"} "http://127.0.0.1$1:7100$3"
}

answered_by() { request "$@" | sed -n 's/.*"backend":"\([^"]*\)".*/\1/p'; }

echo "== build"
go build -o "$work/" ./cmd/agatestepd ./cmd/agatestep ./cmd/agatestep-standin
cp examples/quickstart/h?.yaml "$work" # the data folder counts from the settings file
cd "$work"
tool() { ./agatestep --admin 127.0.0.11:7104,127.0.0.12:7104,127.0.0.13:7104 "$@"; }

echo "== check the service files"
tool check "$repo/examples/quickstart/services"

echo "== start three daemons, in three data centres"
declare -A pid_of
for i in 1 2 3; do
  ./agatestepd run --settings "h$i.yaml" >"h$i.log" 2>&1 &
  pids+=($!); pid_of[h$i]=$!
done
for i in 1 2 3; do wait_for "the admin listener of h$i" curl -sS "http://127.0.0.1$i:7104/v1/replica"; done

echo "== make them one control group, publish the services"
tool bootstrap 127.0.0.11:7104 127.0.0.12:7104 127.0.0.13:7104
tool publish "$repo/examples/quickstart/services"

echo "== start four backend servers, which announce themselves"
start_backend() { # NAME SERVICE DATA-CENTRE [FLAGS...]
  local name=$1 service=$2 dc=$3; shift 3
  ./agatestep-standin --backend "$name" --service "$service" --data-centre "$dc" --checks-orders \
    --entry 127.0.0.11:7101,127.0.0.12:7101,127.0.0.13:7101 --work-time 2ms "$@" >"$name.log" 2>&1 &
  pids+=($!); pid_of[$name]=$!
}
start_backend desk-1 lathe-desk dc1 --key-header X-Wheelset
start_backend desk-2 lathe-desk dc2 --key-header X-Wheelset
start_backend desk-3 lathe-desk dc3 --key-header X-Wheelset
start_backend catalogue-1 catalogue-svc dc1
for i in 1 2 3; do
  wait_for "an answer of lathe-desk through h$i" request $i lathe.example /lathe/status "X-Wheelset: w-1"
  wait_for "an answer of catalogue-svc through h$i" request $i catalogue.example /models/m1
done

echo "== requests through every entry host"
for i in 1 2 3; do
  for key in w-1 w-2 w-3 w-4; do
    echo "h$i: key $key answered by $(answered_by $i lathe.example /lathe/status "X-Wheelset: $key")"
  done
  echo "h$i: catalogue answered by $(answered_by $i catalogue.example /models/m1)"
done
tool status

echo "== kill the backend server that owns key w-1"
owner=$(answered_by 1 lathe.example /lathe/status "X-Wheelset: w-1")
{ kill -9 "${pid_of[$owner]}"; wait "${pid_of[$owner]}" || true; } 2>/dev/null
begin=$(date +%s%N)
wait_for "key w-1 to be served again" request 2 lathe.example /lathe/status "X-Wheelset: w-1"
took=$((($(date +%s%N) - begin) / 1000000))
echo "key w-1: $owner lost, served by $(answered_by 2 lathe.example /lathe/status "X-Wheelset: w-1") after $took ms"

echo "== time line of the loss"
tool timeline | grep -E "lost|$owner" | tail -n 5 || true

echo "== graceful stop"
for name in "${!pid_of[@]}"; do
  [ "$name" = "$owner" ] || [ "${name#h}" != "$name" ] || kill -TERM "${pid_of[$name]}"
done
for name in desk-1 desk-2 desk-3 catalogue-1; do
  [ "$name" = "$owner" ] || wait "${pid_of[$name]}" || fail "$name did not stop cleanly"
done
for i in 1 2 3; do kill -TERM "${pid_of[h$i]}"; done
for i in 1 2 3; do wait "${pid_of[h$i]}" || fail "h$i did not stop cleanly"; done
echo "quickstart: done"
