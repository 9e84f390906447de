"""Entry point of `python -m rattanspoke`."""

from .commands import main

if __name__ == '__main__':
    main()
