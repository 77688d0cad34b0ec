"""Sets of finished tasks: the chunks in which they are kept, and their two stored forms.

A stored part of a set is a number and hexadecimal digits. In the original form, the number is that
of a chunk whose size follows the state service's limit for values. It cannot be told from the part
itself, and a chunk's digits take up a quarter of the largest value. In the explicit form the digits
follow a colon, and the number is that of the first task, so that a part means the same under any
limit. Parts that begin at task 0 mean the same in both forms and have no colon.

In memory a chunk is smaller, and a whole fraction of a chunk of the original form.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import cache

Part = tuple[int, str]
"""A stored part of a set of finished tasks."""

MIN_ORIGINAL_CHUNK_TASKS = 64
MAX_CHUNK_TASKS = 1024
"""Their digits fit into any value, with those of other jobs."""
EXPLICIT = ":"
"""Begins the digits of the explicit form. Programs that only read the original form stop at it."""


def original_chunk_tasks(value_kb: float) -> int:
    """Returns the number of tasks per chunk of the original form under a limit for values."""
    return max(MIN_ORIGINAL_CHUNK_TASKS, int(value_kb * 1024))


@cache
def chunk_tasks(original: int) -> int:
    """Returns the number of tasks per chunk in memory: the largest one that divides an original
    chunk, so that no chunk lies in two original ones."""
    sizes = range(min(original, MAX_CHUNK_TASKS), 0, -1)
    return next(size for size in sizes if original % size == 0)


def decode(part: Part, original: int) -> tuple[int, int]:
    """Returns the first task of a stored part, and the set of finished tasks from there on."""
    number, digits = part
    if digits.startswith(EXPLICIT):
        return number, int(digits[len(EXPLICIT) :], 16)
    return number * original, int(digits, 16)


def encode(first: int, bits: int) -> Part:
    """Returns the stored part of the finished tasks from a first task on."""
    return first, f"{EXPLICIT if first else ''}{bits:x}"


def encode_original(chunk: int, bits: int) -> Part:
    """Returns the stored part of a chunk of the original form."""
    return chunk, f"{bits:x}"


def split(first: int, bits: int, size: int) -> Iterator[tuple[int, int]]:
    """Yields the chunks that a set of finished tasks is part of, with the bits in each."""
    chunk, offset = divmod(first, size)
    bits <<= offset
    mask = (1 << size) - 1
    while bits:
        if bits & mask:
            yield chunk, bits & mask
        bits >>= size
        chunk += 1
