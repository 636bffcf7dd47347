# Shared by the scripts: where things are and how processes are started.
set -euo pipefail
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
RUN="$ROOT/.run"
BIN="$ROOT/bin"
EXAMPLE=${EXAMPLE:-demo}
OFFSET=${PORT_OFFSET:-0}
export CHESTNUT_ADMINS="127.0.0.1:$((8090 + OFFSET))"

# settings FILE prints a settings file with its ports moved by the offset.
settings() {
  perl -pe 's/127\.0\.0\.1:(\d+)/"127.0.0.1:" . ($1 + $ENV{PORT_OFFSET})/ge' "$1"
}

# start NAME PROGRAM starts a program with the settings of NAME.
start() {
  local name=$1 program=$2
  "$BIN/$program" --config "$RUN/$name.toml" >"$RUN/$name.log" 2>&1 &
  echo $! >"$RUN/$name.pid"
}

# await URL waits until it answers with success.
await() {
  for _ in $(seq 200); do
    if curl -sf -o /dev/null "$1"; then return 0; fi
    sleep 0.1
  done
  echo "no answer from $1" >&2
  return 1
}
