#!/bin/sh
# The stand-ins need the standard library only; compiling them shows that this Python can run them.
cd "$(dirname "$0")" && exec python3 -m compileall -q standins 1 2 3
