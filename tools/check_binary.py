"""Check that the built executable serves and starts no child process.

Also prints its size, and its startup time on the first run and once it is unpacked.
Run: python -m tools.check_binary FOLDER. The executable is unpacked in FOLDER, which is
to be on a file system in memory.
"""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

BINARY = Path('dist/rattanspoke')
LISTEN = '127.0.0.1:9491'
MAX_POLLS = 200
POLL_INTERVAL = 0.1  # seconds between readiness checks


def measure_startup(folder: Path) -> tuple[float, int]:
    """Run the executable until it is ready, then stop it.

    Returns:
        The seconds until it was ready, and the number of its child processes.
    """
    settings = folder / 'host.json5'
    settings.write_text(
        json.dumps(
            {
                'host': '127.0.0.1:9492',
                'zone': 'zone-a',
                'listen': LISTEN,
                'platform': 'http://127.0.0.1:9493',
                'leave_wait': 0,
            }
        )
    )
    environment = {**os.environ, 'SHIV_ROOT': str(folder / 'root')}
    started_at = time.monotonic()
    child = subprocess.Popen([BINARY, 'serve', settings], env=environment)
    try:
        for _ in range(MAX_POLLS):
            if is_ready():
                break
            time.sleep(POLL_INTERVAL)
        elapsed = time.monotonic() - started_at
        return elapsed, count_children(child.pid)
    finally:
        child.send_signal(signal.SIGTERM)
        child.wait()


def is_ready() -> bool:
    """Return whether the host reports that it is ready."""
    try:
        with urllib.request.urlopen(f'http://{LISTEN}/ready', timeout=1) as reply:
            return reply.status == 200
    except OSError:
        return False


def count_children(pid: int) -> int:
    """Return the number of child processes of a process, over all of its threads."""
    return sum(
        len(path.read_text().split())
        for path in Path(f'/proc/{pid}/task').glob('*/children')
    )


def main() -> None:
    """Start the executable twice, packed and unpacked, and print the measurements.

    The exit code is 1 if it started a child process.
    """
    folder = Path(sys.argv[1])
    first, children = measure_startup(folder)
    second, second_children = measure_startup(folder)
    size = BINARY.stat().st_size / 1e6
    root = folder / 'root'
    unpacked = sum(each.stat().st_size for each in root.rglob('*') if each.is_file())
    print(f'file {size:.1f} MB, unpacked {unpacked / 1e6:.0f} MB')
    print(
        f'ready after {first:.1f} s, again {second:.1f} s;'
        f' children {children + second_children}'
    )
    sys.exit(bool(children + second_children))


if __name__ == '__main__':
    main()
