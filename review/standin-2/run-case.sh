#!/usr/bin/env bash
# Runs one case: run-case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case couldn't run. All files but the record are in a temporary folder, and all
# processes that the case started are ended.
set -u
name=$1
here=$2
cd "$here/../.." || exit 2
program=$PWD/target/release/briarshift
case=$PWD/target/review-2/$name
[ -x "$program" ] && [ -x "$case" ] || exit 2
# The clients of one case hold some thousand connections.
if [ "$(ulimit -Sn)" != unlimited ] && [ "$(ulimit -Sn)" -lt 13000 ]; then
  ulimit -Sn 13000 2>/dev/null || ulimit -Sn "$(ulimit -Hn)"
fi
folder=$(mktemp -d) || exit 2
end() {
  if [ -f "$folder/pids" ]; then
    while read -r pid; do
      # Only a process that still runs with the settings of this case.
      if { tr '\0' ' ' <"/proc/$pid/cmdline"; } 2>/dev/null | grep -q "$folder"; then
        kill -KILL "$pid" 2>/dev/null
      fi
    done <"$folder/pids"
  fi
  rm -rf "$folder"
}
trap end EXIT
timeout -k 2 116 "$case" "$program" "$folder" "$here/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
