"""Tests written as coroutines: a story is played on what its first parameter names."""

from __future__ import annotations

import functools
import inspect
from collections.abc import Callable, Coroutine
from typing import Any, Concatenate, ParamSpec, TypeVar

Subject = TypeVar("Subject")
P = ParamSpec("P")


def as_test(
    story: Callable[Concatenate[Subject, P], Coroutine[Any, Any, None]],
    run: Callable[[Callable[[Subject], Coroutine[Any, Any, None]], dict[str, Any]], object],
) -> Callable[P, None]:
    """The test that `run` plays a story with, given also the test's own parameters: those of the
    story behind its first one."""

    @functools.wraps(story)
    def test(*args: P.args, **kwargs: P.kwargs) -> None:
        run(lambda subject: story(subject, *args, **kwargs), kwargs)

    signature = inspect.signature(story)
    _, *parameters = signature.parameters.values()
    test.__signature__ = signature.replace(parameters=parameters)  # type: ignore[attr-defined]
    return test
