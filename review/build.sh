#!/bin/sh
# Builds the program of each case: the stand-ins for clients, endpoints and discovery, and the checks. Needs the tool
# chain alone, and no package. The results are in target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/main.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -D warnings -o "target/review/case-$number" "$source"
done
