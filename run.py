"""Start the service from a checkout: add the built dependencies, call the command line."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent / "target" / "deps"))

from badgerseam.cli import main

if __name__ == "__main__":
    arguments = sys.argv[1:]
    if arguments and arguments[0] in ("--config", "--options"):
        arguments = ["serve", *arguments]
    sys.exit(main(arguments))
