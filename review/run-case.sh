#!/usr/bin/env bash
# Plays the case $1 of the stand-in and writes the record to the folder $2. It exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run. However it ends, no process that the case started is left, nor a temporary file.
folder="$2"
cd "$(dirname "$0")/.." || exit 2
TMPDIR="$(mktemp -d)" || exit 2
export TMPDIR
driver=

end_all() {
  trap - EXIT TERM INT HUP
  if [ -n "$driver" ] && kill -TERM "$driver" 2>/dev/null; then
    wait "$driver"
  fi
  # The stand-in lists what it starts; some are left only if it was killed.
  if [ -f "$TMPDIR/pids" ]; then
    while read -r pid; do
      if { tr '\0' ' ' <"/proc/$pid/cmdline"; } 2>/dev/null | grep -q '^target/hawthornpoint sidecar'; then
        kill -KILL "$pid" 2>/dev/null
      fi
    done <"$TMPDIR/pids"
  fi
  rm -rf "$TMPDIR"
}
trap end_all EXIT
trap 'end_all; exit 2' TERM INT HUP

timeout -s TERM -k 5 105 target/review-standin "$1" "$folder/record.txt" &
driver=$!
wait "$driver"
result=$?
driver=
[ "$result" -le 1 ] || result=2
exit "$result"
