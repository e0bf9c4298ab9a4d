#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Build first: the build of the deploy file, then
# review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/briarshift ] && [ -x target/review/driver ] || exit 2
target/review/driver storm review/2/record.txt
result=$?
# Anything but "broken" and "held" means that the case could not run.
[ "$result" -le 1 ] || result=2
exit "$result"
