#!/bin/bash
# Builds the programs of the cases (standard library only) into target/review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[0-9]*/; do
  number=$(basename "$folder")
  rustc --edition 2021 -O -o "target/review/case$number" "review/$number/case.rs"
done
