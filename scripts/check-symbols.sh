#!/usr/bin/env bash
# The shipped binaries start no process and use neither shared memory nor io_uring.
set -eu
for b in wisterialoft wisterialoftd; do
  bad=$(nm -D "${1:-build}/bin/$b" | grep -oE ' U (v?fork|exec[vl][a-z]*|posix_spawnp?|system|popen|shm_open|shmget|io_uring[a-z_]*)\b' || true)
  if [ -n "$bad" ]; then echo "$b uses:$bad"; exit 1; fi
done
echo "symbols: no process is started, no shared memory, no io_uring"
