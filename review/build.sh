#!/bin/sh
# Builds the stand-ins that the scripts under review/ start.
cd "$(dirname "$0")/.." && mkdir -p target || exit 2
for folder in review/*/_standin; do
	number=$(basename "$(dirname "$folder")")
	go build -o "target/review-$number" "./$folder" || exit 2
done
