"""Entry point of `python -m badgerseam`."""

import sys

from badgerseam.cli import main

if __name__ == "__main__":
    sys.exit(main())
