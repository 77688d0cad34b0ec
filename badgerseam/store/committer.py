"""Group commit: proposals from all over the process, put into as few transactions as fit."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum

from badgerseam.background import BackgroundTasks
from badgerseam.clock import Clock
from badgerseam.errors import BadgerseamError
from badgerseam.store.client import (
    ConditionFailedError,
    LeaseExpiredError,
    MalformedRequestError,
    OutcomeUnknownError,
    StateClient,
    StateUnavailableError,
)
from badgerseam.wire.state import Condition, Transaction, Write, encode

log = logging.getLogger("badgerseam.store")

MAX_TRANSACTION_BYTES = 56 * 1024
MAX_IN_FLIGHT = 3


class Urgency(IntEnum):
    """What goes first, and what leaves a part of the write budget to the others."""

    CLAIM = 0
    USER = 1
    PLACE = 2
    DONE = 3
    UPKEEP = 4
    MIGRATE = 5


WRITE_RESERVE = {
    Urgency.CLAIM: 0.0,
    Urgency.USER: 0.0,
    Urgency.PLACE: 0.0,
    Urgency.DONE: 0.15,
    Urgency.UPKEEP: 0.4,
    Urgency.MIGRATE: 0.5,
}
"""Part of the burst that an urgency leaves alone."""


class ProposalRejectedError(StateUnavailableError):
    """The state service calls the proposal malformed: it was not executed, and never will be."""


class ProposalDroppedError(BadgerseamError):
    """The proposal was no longer wanted before it was known to be committed."""


@dataclass(slots=True, eq=False)
class Proposal:
    """Writes that go together, on conditions."""

    urgency: Urgency
    conditions: dict[str, int]
    writes: list[Write]
    future: asyncio.Future[int]
    deadline: float | None = None
    wanted: Callable[[], bool] | None = None
    alone: bool = False
    """Among others it was called malformed: to be sent by itself, to tell which of them it is."""
    sent: bool = False
    """On its way, or answered."""
    patient_until: float | None = None
    """When it becomes as urgent as a placement."""
    turn: int = 0
    """Among what is as urgent: its priority class, the first one is 0."""
    uncertain: bool = False
    """Sent once without a response: a refusal may mean that it was applied."""
    since: float = 0.0
    size: int = 0
    keys: frozenset[str] = field(default_factory=frozenset)


@dataclass(slots=True)
class WaitStats:
    """From proposing to the answer."""

    count: int = 0
    writes: int = 0
    total_s: float = 0.0
    most_s: float = 0.0

    def add(self, writes: int, wait_s: float) -> None:
        self.count += 1
        self.writes += writes
        self.total_s += wait_s
        self.most_s = max(self.most_s, wait_s)


class GroupCommitter:
    """Sends proposals, in order of urgency, within the write budget."""

    def __init__(self, clock: Clock, state: StateClient) -> None:
        self._clock = clock
        self._state = state
        self._queue: list[tuple[int, int, int, Proposal]] = []
        self._order = itertools.count()
        self._in_flight = 0
        self._tasks = BackgroundTasks()
        self._timer: asyncio.TimerHandle | None = None
        self._failures = 0
        self._not_before = 0.0
        self._wait_stats = {urgency: WaitStats() for urgency in Urgency}

    def report(self) -> str:
        """How many writes each urgency has had since the last report, and their waits."""
        parts = [
            f"{urgency.name.lower()} {waits.writes} (wait {waits.total_s / waits.count:.2f} s, "
            f"most {waits.most_s:.2f} s)"
            for urgency, waits in self._wait_stats.items()
            if waits.count
        ]
        self._wait_stats = {urgency: WaitStats() for urgency in Urgency}
        return f"writes: {', '.join(parts) or 'none'}; {len(self._queue)} wait"

    async def commit(
        self,
        urgency: Urgency,
        conditions: dict[str, int],
        writes: list[Write],
        deadline_s: float | None = None,
        wanted: Callable[[], bool] | None = None,
        patience_s: float | None = None,
        turn: int = 0,
    ) -> int:
        """The revision at which the writes were applied.

        `patience_s`: for how long more urgent proposals may go before it; None: always.
        `turn`: less goes first among what is as urgent, for half of its deadline.

        Refused if a condition failed (its `uncertain` attribute tells that an earlier sending got
        no response), Unavailable after the deadline, Dropped when no longer wanted.
        """
        loop = asyncio.get_running_loop()
        proposal = Proposal(
            urgency,
            conditions,
            writes,
            loop.create_future(),
            None if deadline_s is None else self._clock.now() + deadline_s,
            wanted,
        )
        proposal.since = self._clock.now()
        proposal.size = len(
            encode(Transaction([Condition(k, v) for k, v in conditions.items()], writes))
        )
        proposal.keys = frozenset(write.put or write.delete or "" for write in writes)
        if patience_s is not None:
            proposal.patient_until = proposal.since + patience_s
            loop.call_later(patience_s, self._promote, proposal)
        if turn and deadline_s is not None:
            # Behind a stream of others for good, it would never be answered.
            proposal.turn = turn
            loop.call_later(deadline_s / 2, self._in_turn, proposal)
        self._push(proposal)
        self._send_ready()
        return await proposal.future

    def _in_turn(self, proposal: Proposal) -> None:
        if not proposal.future.done():
            proposal.turn = 0
            self._promote(proposal)

    def _promote(self, proposal: Proposal) -> None:
        """A proposal has waited behind more urgent ones for as long as it may."""
        if not proposal.future.done() and not proposal.sent:
            self._push(proposal)
            self._send_ready()

    def _push(self, proposal: Proposal) -> None:
        until = proposal.patient_until
        if until is not None and self._clock.now() >= until:
            proposal.urgency = min(proposal.urgency, Urgency.PLACE)
        place = next(self._order)
        heapq.heappush(self._queue, (int(proposal.urgency), proposal.turn, place, proposal))

    def _requeue(self, proposal: Proposal) -> None:
        proposal.sent = False
        self._push(proposal)

    def _send_ready(self) -> None:
        while self._queue and self._in_flight < MAX_IN_FLIGHT:
            now = self._clock.now()
            batch = self._gather(now)
            if not batch:
                break
            self._in_flight += 1
            self._tasks.spawn(self._send(batch))
        if self._queue and self._timer is None and self._in_flight < MAX_IN_FLIGHT:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._wait_s(), self._tick)

    def _wait_s(self) -> float:
        pause = self._not_before - self._clock.now()
        head = self._queue[0][3]
        budget = self._state.writes
        need = budget.wait_s(len(head.writes), self._reserve(head.urgency))
        return max(0.005, min(max(pause, need), 0.5))

    def wait_s(self, urgency: Urgency) -> float:
        """How long one write of that urgency would have to wait now."""
        pause = self._not_before - self._clock.now()
        return max(0.0, pause, self._state.writes.wait_s(1.0, self._reserve(urgency)))

    def _tick(self) -> None:
        self._timer = None
        self._send_ready()

    def _reserve(self, urgency: Urgency) -> float:
        return WRITE_RESERVE[urgency] * self._state.writes.burst

    def _gather(self, now: float) -> list[Proposal]:
        """Take the most urgent proposals that fit together into one transaction."""
        params = self._state.params
        batch: list[Proposal] = []
        conditions: dict[str, int] = {}
        keys: set[str] = set()
        operations = size = 0
        left: list[tuple[int, int, int, Proposal]] = []
        while self._queue:
            item = heapq.heappop(self._queue)
            proposal = item[3]
            if proposal.future.done() or proposal.sent:
                continue
            if item[:2] != (proposal.urgency, proposal.turn):
                # Pushed again since, with a higher one.
                continue
            if proposal.wanted is not None and not proposal.wanted():
                proposal.future.set_exception(ProposalDroppedError())
                continue
            if proposal.deadline is not None and now >= proposal.deadline:
                proposal.future.set_exception(StateUnavailableError("deadline"))
                continue
            if now < self._not_before:
                left.append(item)
                continue
            merged = conditions | proposal.conditions
            fits = (
                operations + len(proposal.writes) <= params.txn_ops
                and len(merged) <= 4 * params.txn_ops
                and size + proposal.size <= MAX_TRANSACTION_BYTES
                and not keys & proposal.keys
                and all(conditions.get(k, v) == v for k, v in proposal.conditions.items())
                # A lease that has ended fails the whole transaction, so it is asked alone.
                and not (batch and any(write.lease for write in proposal.writes))
                and not (batch and (proposal.alone or batch[0].alone))
            )
            if not fits or not self._state.writes.take(
                len(proposal.writes), self._reserve(proposal.urgency)
            ):
                left.append(item)
                if not fits and len(left) < 8:
                    continue
                break
            batch.append(proposal)
            proposal.sent = True
            conditions = merged
            keys |= proposal.keys
            operations += len(proposal.writes)
            size += proposal.size
            if any(write.lease for write in proposal.writes):
                break
        for item in left:
            heapq.heappush(self._queue, item)
        return batch

    async def _send(self, batch: list[Proposal]) -> None:
        conditions: dict[str, int] = {}
        for proposal in batch:
            conditions |= proposal.conditions
        then = [write for proposal in batch for write in proposal.writes]
        try:
            revision = await self._state.compare_and_swap(
                [Condition(key, version) for key, version in conditions.items()], then
            )
        except ConditionFailedError as refusal:
            self._failures = 0
            for proposal in batch:
                failed = [key for key in refusal.failed if key in proposal.conditions]
                if proposal.future.done():
                    continue
                if failed:
                    proposal.future.set_exception(ConditionFailedError(failed))
                else:
                    self._requeue(proposal)
        except LeaseExpiredError as error:
            for proposal in batch:
                if not proposal.future.done():
                    proposal.future.set_exception(error)
        except MalformedRequestError as error:
            self._malformed(batch, error)
        except StateUnavailableError as error:
            for proposal in batch:
                proposal.uncertain = proposal.uncertain or isinstance(error, OutcomeUnknownError)
                self._requeue(proposal)
            self._failures += 1
            if str(error) == "429":
                self._state.writes.penalize(0.2)
            self._not_before = self._clock.now() + min(0.05 * 2 ** min(self._failures, 5), 1.0)
        else:
            self._failures = 0
            now = self._clock.now()
            for proposal in batch:
                self._wait_stats[proposal.urgency].add(len(proposal.writes), now - proposal.since)
                if not proposal.future.done():
                    proposal.future.set_result(revision)
        finally:
            self._in_flight -= 1
            self._send_ready()

    def _malformed(self, batch: list[Proposal], error: MalformedRequestError) -> None:
        """One proposal that can never be written must not hold up the others for ever."""
        for proposal in batch:
            if len(batch) > 1:
                proposal.alone = True
                self._requeue(proposal)
            elif not proposal.future.done():
                keys = ", ".join(sorted(proposal.keys))
                log.error("not written, since the state service takes it for malformed: %s", keys)
                proposal.future.set_exception(ProposalRejectedError(str(error)))
