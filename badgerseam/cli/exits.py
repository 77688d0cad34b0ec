"""Exit codes of the commands, and the form of their error messages."""

from __future__ import annotations

import sys

EXIT_OK, EXIT_FAILED, EXIT_USAGE, EXIT_UNREACHABLE = 0, 1, 2, 3


def fail(text: str, code: int) -> int:
    """Print an error message on standard error; `code`, so that a caller can return it."""
    print(f"badgerseam: {text}", file=sys.stderr)
    return code
