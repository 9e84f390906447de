"""Entry point of the deploy file: run a host without loading the command line.

A host starts many times a day and needs nothing of the command line.
"""

import signal
from importlib import import_module


def main() -> None:
    """Run a host with the settings file that the environment names, then exit.

    SIGHUP tells a host to reload its settings. Before it has read them there is nothing
    to reload, but the signal's default action would end the process, so it is ignored
    before the other modules are imported, which takes most of the start.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import_module('._platform_host', __package__).main()


if __name__ == '__main__':
    main()
