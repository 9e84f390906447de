#!/bin/sh
# Builds the stand-ins of the cases. They are Python without dependencies, so this
# compiles them; the hosts come from the build of the deploy file.
cd "$(dirname "$0")" && exec python3 -m compileall -q common [0-9]*
