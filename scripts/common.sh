# Sourced by the scripts: starts the example set as plain processes on
# loopback, and ends those processes, by their ids, when the script ends.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=build
run=$(mktemp -d)
pids=()

finish() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for _ in $(seq 50); do
    alive=0
    for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
    [ "$alive" = 0 ] && break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$run"
}
trap finish EXIT

start() { # name command...
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids+=($!)
  eval "pid_$name=$!"
}

export PETRELSTEP_ADMIN=127.0.0.1:9111,127.0.0.1:9112,127.0.0.1:9113
export PETRELSTEP_BOXES=127.0.0.1:9101,127.0.0.1:9102,127.0.0.1:9103

start_all() { # speed draft-length
  start platform $bin/petrelstep-standin platform -listen 127.0.0.1:9001
  start leith_1 $bin/petrelstep-standin engine -listen 127.0.0.1:9201 -name leith-1 -model assessor -fenced -platform 127.0.0.1:9001 -speed "$1" -draft "$2"
  start gorgie_1 $bin/petrelstep-standin engine -listen 127.0.0.1:9202 -name gorgie-1 -model assessor -platform 127.0.0.1:9001 -speed "$1" -draft "$2"
  start sighthill_1 $bin/petrelstep-standin engine -listen 127.0.0.1:9203 -name sighthill-1 -model portal -fenced -platform 127.0.0.1:9001 -speed "$1" -draft "$2"
  start portal_1 $bin/petrelstep-standin service -listen 127.0.0.1:9301
  for i in 1 2 3; do start "box$i" $bin/petrelstepd -settings "examples/box$i.json"; done
  for i in 1 2 3; do await_ready "127.0.0.1:911$i"; done
  PETRELSTEP_KEY=operator-example-key $bin/petrelstep apply -f examples/declaration.json
  PETRELSTEP_KEY=operator-example-key $bin/petrelstep status -wait 20s -expect 3
}

await_ready() { # address
  for _ in $(seq 100); do
    curl -sf "http://$1/readyz" >/dev/null && return
    sleep 0.1
  done
  echo "not ready: $1" >&2
  tail -5 "$run"/*.log >&2
  return 1
}
