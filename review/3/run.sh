#!/bin/sh
# Starts three replicas of control and two edge machines with the commands of deploy/system.toml, on loopback addresses, and plays
# the case of claim.txt with the stand-ins of review/build.sh. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0: the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd) && cd "$here/../.." || exit 2
for program in control agent proxy review-3; do
	[ -x "target/$program" ] || { echo "target/$program is missing: build the deploy file and run review/build.sh"; exit 2; }
done
exec target/review-3 "$here/record.txt"
