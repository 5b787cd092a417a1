#!/usr/bin/env bash
# Plays the case $1 of rig3 and writes record.txt to the folder $2. It exits with 1 if the rule was broken, 0 if it held, 2
# if the case could not run. rig3 ends after 110 s at the latest, and each daemon gets SIGKILL when rig3 ends.
folder="$(cd "$2" && pwd)" || exit 2
cd "$(dirname "$0")/.." || exit 2
TMPDIR="$(mktemp -d)" || exit 2
export TMPDIR
driver=
end() {
  trap - EXIT TERM INT HUP
  [ -n "$driver" ] && kill -KILL "$driver" 2>/dev/null && wait "$driver" 2>/dev/null
  rm -rf "$TMPDIR"
}
trap end EXIT
trap 'end; exit 2' TERM INT HUP
target/rig3 "$1" target/hawthornpoint "$folder/record.txt" "${TROUBLE:-1}" &
driver=$!
wait "$driver"
code=$?
driver=
[ "$code" -le 2 ] || code=2
exit "$code"
