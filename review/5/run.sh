#!/bin/sh
# Runs the case with the project's programs and the stand-ins, after review/build.sh. TROUBLE=0 leaves out the
# disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/yuccacroft ] || exit 2
exec target/review/standin clock-set-back review/5/record.txt
