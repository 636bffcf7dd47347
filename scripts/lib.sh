# Paths and functions shared by the scripts.
set -euo pipefail
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
RUN="$ROOT/.run"
BIN="$ROOT/bin"
EXAMPLE=${EXAMPLE:-demo}
OFFSET=${PORT_OFFSET:-0}
export CHESTNUT_ADMINS="127.0.0.1:$((8090 + OFFSET))"

# settings FILE prints a settings file with PORT_OFFSET added to its ports.
settings() {
  perl -pe 's/127\.0\.0\.1:(\d+)/"127.0.0.1:" . ($1 + $ENV{PORT_OFFSET})/ge' "$1"
}

# start NAME PROGRAM starts a program with the settings file NAME.toml.
start() {
  local name=$1 program=$2
  "$BIN/$program" --config "$RUN/$name.toml" >"$RUN/$name.log" 2>&1 &
  echo $! >"$RUN/$name.pid"
}

# await URL waits, at most 20 s plus request times, until a GET succeeds.
await() {
  for _ in $(seq 200); do
    if curl -sf -o /dev/null "$1"; then return 0; fi
    sleep 0.1
  done
  echo "no successful response from $1" >&2
  return 1
}
