#!/bin/sh
# With TROUBLE=0, the same without the disruption.
TROUBLE=${TROUBLE:-1}
export TROUBLE
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../script.sh" "$folder" crashes
