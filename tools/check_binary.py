"""Check the built file: it serves, starts no child, and how long that takes.

Run: python -m tools.check_binary FOLDER, with a memory directory to unpack in.
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
POLL_INTERVAL = 0.1  # seconds between looks


def measure_startup(folder: Path) -> tuple[float, int]:
    """Run the binary until it is ready; return the seconds it took and its children."""
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
    """Tell whether the host answers."""
    try:
        with urllib.request.urlopen(f'http://{LISTEN}/ready', timeout=1) as reply:
            return reply.status == 200
    except OSError:
        return False


def count_children(pid: int) -> int:
    """Return how many children a process and its threads have."""
    return sum(
        len(path.read_text().split())
        for path in Path(f'/proc/{pid}/task').glob('*/children')
    )


def main() -> None:
    """Start the binary twice, cold and unpacked, and print what was seen."""
    folder = Path(sys.argv[1])
    first, children = measure_startup(folder)
    second, more = measure_startup(folder)
    size = BINARY.stat().st_size / 1e6
    root = folder / 'root'
    unpacked = sum(each.stat().st_size for each in root.rglob('*') if each.is_file())
    print(f'file {size:.1f} MB, unpacked {unpacked / 1e6:.0f} MB')
    print(
        f'ready after {first:.1f} s, again {second:.1f} s; children {children + more}'
    )
    sys.exit(bool(children + more))


if __name__ == '__main__':
    main()
