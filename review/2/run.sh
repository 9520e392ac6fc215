#!/bin/sh
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../script.sh" "$folder" reborn
