"""Links between the parts of a site, which faults can break."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from typing import Literal

from badgerseam.background import BackgroundTasks
from badgerseam.http.server import Reply, error_reply

LinkFault = Literal["cut", "refused", "lossy", "slow", "late", "unanswered"]
SLOW_S = 0.8
LATE_S = 2.0, 12.0
"""Range of the seconds after which a request on a `late` link is executed. It gets no answer.

On an `unanswered` link a request is executed at once, and gets no answer either.
"""
NO_ANSWER_S = 60.0
LOST_FRACTION = 0.3
"""Fraction of the requests on a lossy link that get no answer; half of them are not executed."""


@dataclass(slots=True)
class _BrokenLink:
    fault: LinkFault
    healed: asyncio.Event


class Links:
    """The links that are broken now, by source and target."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._broken: dict[tuple[str, str], _BrokenLink] = {}
        self.late_fraction = 1.0
        """Fraction of the transactions that a `late` or `unanswered` link does not answer."""
        self._tasks = BackgroundTasks()

    def break_(self, source: str, target: str, fault: LinkFault) -> None:
        """Breaks a link for requests from `source` to `target`."""
        self.heal(source, target)
        self._broken[source, target] = _BrokenLink(fault, asyncio.Event())

    def heal(self, source: str, target: str) -> None:
        """Heals a link; requests that it delayed continue."""
        broken = self._broken.pop((source, target), None)
        if broken is not None:
            broken.healed.set()

    @property
    def in_flight(self) -> int:
        """Number of late requests that have not been executed yet."""
        return len(self._tasks)

    def fault_on(self, source: str, target: str) -> LinkFault | None:
        """Returns the fault of a link in one direction; None if it works."""
        broken = self._broken.get((source, target))
        return None if broken is None else broken.fault

    def broken_links(self) -> list[tuple[str, str, LinkFault]]:
        """Returns source, target and fault of each broken link."""
        return [(a, b, broken.fault) for (a, b), broken in sorted(self._broken.items())]

    async def wait_while_broken(self, source: str, target: str, fault: LinkFault = "cut") -> None:
        """Waits while a link has this fault."""
        while (broken := self._broken.get((source, target))) and broken.fault == fault:
            await broken.healed.wait()

    async def request(
        self,
        source: str,
        target: str,
        execute: Callable[[], Awaitable[Reply] | Reply],
        late: bool = False,
    ) -> Reply:
        """Executes a request that came over a link, with the link's fault.

        `late`: whether `late` and `unanswered` links affect the request. A `late` link executes
        it later, after newer requests; an `unanswered` link executes it at once.
        """
        broken = self._broken.get((source, target))
        if broken is None:
            return await _outcome(execute())
        if broken.fault == "refused":
            return error_reply(503, "trouble")
        if broken.fault in ("late", "unanswered"):
            if not late or self._random.random() >= self.late_fraction:
                return await _outcome(execute())
            if broken.fault == "unanswered":
                await _outcome(execute())
                return await no_answer()
            self._tasks.spawn(self._execute_late(execute))
            return await no_answer()
        if broken.fault == "slow":
            await asyncio.sleep(SLOW_S * self._random.random())
            return await _outcome(execute())
        if broken.fault == "cut":
            await self.wait_while_broken(source, target)
            return await _outcome(execute())
        if self._random.random() < LOST_FRACTION:
            if self._random.random() < 0.5:
                await _outcome(execute())
            return await no_answer()
        return await _outcome(execute())

    async def _execute_late(self, execute: Callable[[], Awaitable[Reply] | Reply]) -> None:
        await asyncio.sleep(self._random.uniform(*LATE_S))
        await _outcome(execute())


async def no_answer() -> Reply:
    """Makes a sender wait until it times out, because its request or the response is lost."""
    # The sender times out long before this ends. A 503 would mean that nothing was executed.
    await asyncio.sleep(NO_ANSWER_S)
    return error_reply(504, "lost")


async def _outcome(outcome: Awaitable[Reply] | Reply) -> Reply:
    return outcome if isinstance(outcome, Reply) else await outcome


class Relay:
    """Forwards one controller's connections to another's peer address.

    A cut link delays packets; a refused link closes connections.
    """

    def __init__(self, links: Links, source: str, target: str, port: int) -> None:
        self._links = links
        self._ends = source, target
        self._port = port
        self._server: asyncio.Server | None = None

    async def listen(self, port: int) -> None:
        """Starts to accept connections at a loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)

    def close(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            self._server.close()

    @property
    def _refused(self) -> bool:
        return self._links.fault_on(*self._ends) == "refused"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._refused:
            writer.transport.abort()
            return
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self._links.wait_while_broken(*self._ends)
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self._port)
            try:
                await asyncio.gather(
                    self._pump(reader, target_writer, self._ends),
                    self._pump(target_reader, writer, self._ends),
                )
            finally:
                target_writer.close()
        writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ends: tuple[str, str]
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self._links.wait_while_broken(*ends)
                if self._refused:
                    break
                writer.write(data)
                await writer.drain()
        writer.close()
