"""Exit codes of the commands, and how they report errors."""

from __future__ import annotations

import sys

EXIT_OK, EXIT_FAILED, EXIT_USAGE, EXIT_UNREACHABLE = 0, 1, 2, 3


def fail(text: str, code: int) -> int:
    """Prints an error message on standard error and returns `code`."""
    print(f"badgerseam: {text}", file=sys.stderr)
    return code
