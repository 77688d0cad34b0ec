"""Runs the command line from a checkout, with the dependencies in target/deps on the path.

Arguments that begin with --config or --options run the `serve` command.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent / "target" / "deps"))

from badgerseam.cli import main

if __name__ == "__main__":
    arguments = sys.argv[1:]
    if arguments and arguments[0] in ("--config", "--options"):
        arguments = ["serve", *arguments]
    sys.exit(main(arguments))
