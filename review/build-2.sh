#!/bin/sh
# Builds the stand-ins that the scripts of the second review start (review/4 to review/8), after the build of deploy/system.toml.
cd "$(dirname "$0")/.." && mkdir -p target || exit 2
for number in 4 5 6 7 8; do
	[ -d "review/$number/_standin" ] || continue
	go build -o "target/review-$number" "./review/$number/_standin" || exit 2
done
