"""Exit codes, and how a failure is told."""

from __future__ import annotations

import sys

EXIT_OK, EXIT_FAILED, EXIT_USAGE, EXIT_UNREACHABLE = 0, 1, 2, 3


def fail(text: str, code: int) -> int:
    """Say on standard error what went wrong; the exit code."""
    print(f"badgerseam: {text}", file=sys.stderr)
    return code
