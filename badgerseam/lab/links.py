"""Links between the parts of a site, to be cut, slowed and refused on purpose."""

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
"""After which what was sent over a late link is carried out, without an answer. Over an unanswered
one it is carried out at once."""
NO_ANSWER_S = 60.0
LOSSY = 0.3
"""Part of the requests of a lossy link whose answer is lost; half of them are never executed."""


@dataclass(slots=True)
class _Broken:
    trouble: LinkFault
    healed: asyncio.Event


class Links:
    """What is broken now, by the two ends of a link."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._broken: dict[tuple[str, str], _Broken] = {}
        self.late_fraction = 1.0
        """Of what is sent over a late or unanswered link and can be late."""
        self._tasks = BackgroundTasks()

    def break_(self, source: str, target: str, trouble: LinkFault) -> None:
        """Break a link in one direction of asking."""
        self.heal(source, target)
        self._broken[source, target] = _Broken(trouble, asyncio.Event())

    def heal(self, source: str, target: str) -> None:
        """Mend a link: what it held back goes on."""
        broken = self._broken.pop((source, target), None)
        if broken is not None:
            broken.healed.set()

    @property
    def in_flight(self) -> int:
        """How much that was made late has not been carried out."""
        return len(self._tasks)

    def fault_on(self, source: str, target: str) -> LinkFault | None:
        broken = self._broken.get((source, target))
        return None if broken is None else broken.trouble

    def broken_links(self) -> list[tuple[str, str, LinkFault]]:
        """All that is broken."""
        return [(a, b, broken.trouble) for (a, b), broken in sorted(self._broken.items())]

    async def wait_while_broken(self, source: str, target: str, trouble: LinkFault = "cut") -> None:
        """Return when nothing holds packets back, or when the link has not that trouble."""
        while (broken := self._broken.get((source, target))) and broken.trouble == trouble:
            await broken.healed.wait()

    async def request(
        self,
        source: str,
        target: str,
        execute: Callable[[], Awaitable[Reply] | Reply],
        late: bool = False,
    ) -> Reply:
        """Execute a request that came over a link, as late as the link brings it. `late`: it is one
        that a late link carries out later, behind newer ones, and an unanswered one at once."""
        broken = self._broken.get((source, target))
        if broken is None:
            return await _done(execute())
        if broken.trouble == "refused":
            return error_reply(503, "trouble")
        if broken.trouble in ("late", "unanswered"):
            if not late or self._random.random() >= self.late_fraction:
                return await _done(execute())
            if broken.trouble == "unanswered":
                await _done(execute())
                return await no_answer()
            self._tasks.spawn(self._later(execute))
            return await no_answer()
        if broken.trouble == "slow":
            await asyncio.sleep(SLOW_S * self._random.random())
            return await _done(execute())
        if broken.trouble == "cut":
            await self.wait_while_broken(source, target)
            return await _done(execute())
        if self._random.random() < LOSSY:
            if self._random.random() < 0.5:
                await _done(execute())
            return await no_answer()
        return await _done(execute())

    async def _later(self, execute: Callable[[], Awaitable[Reply] | Reply]) -> None:
        await asyncio.sleep(self._random.uniform(*LATE_S))
        await _done(execute())


async def no_answer() -> Reply:
    """What a sender gets whose request is held up, or whose answer is lost: nothing while it
    waits."""
    # The other side gives up long before; a 503, when the link is mended, would say that nothing
    # was carried out.
    await asyncio.sleep(NO_ANSWER_S)
    return error_reply(504, "lost")


async def _done(outcome: Awaitable[Reply] | Reply) -> Reply:
    return outcome if isinstance(outcome, Reply) else await outcome


class Relay:
    """Forwards one controller's connections to another's peer address, until the link is cut, which
    holds packets back, or refused, which ends connections."""

    def __init__(self, links: Links, source: str, target: str, port: int) -> None:
        self._links = links
        self._ends = source, target
        self._port = port
        self._server: asyncio.Server | None = None

    async def listen(self, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)

    def close(self) -> None:
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
            there, back = await asyncio.open_connection("127.0.0.1", self._port)
            try:
                await asyncio.gather(
                    self._pump(reader, back, self._ends), self._pump(there, writer, self._ends)
                )
            finally:
                back.close()
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
