"""Tests written as coroutines whose first parameter is the fixture that they run on."""

from __future__ import annotations

import functools
import inspect
from collections.abc import Callable, Coroutine
from typing import Any, Concatenate, ParamSpec, TypeVar

FixtureT = TypeVar("FixtureT")
P = ParamSpec("P")


def as_test(
    steps: Callable[Concatenate[FixtureT, P], Coroutine[Any, Any, None]],
    run: Callable[[Callable[[FixtureT], Coroutine[Any, Any, None]], dict[str, Any]], object],
) -> Callable[P, None]:
    """Returns a test function that calls `run` with the steps of a test and its parameters.

    `run` creates the fixture, which is the first parameter of `steps`. The other parameters of
    `steps` become the parameters of the test.
    """

    @functools.wraps(steps)
    def test(*args: P.args, **kwargs: P.kwargs) -> None:
        run(lambda fixture: steps(fixture, *args, **kwargs), kwargs)

    signature = inspect.signature(steps)
    _, *parameters = signature.parameters.values()
    test.__signature__ = signature.replace(parameters=parameters)  # type: ignore[attr-defined]
    return test
