"""Group commit: combines proposals from the whole process into few transactions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from badgerseam.background import BackgroundTasks
from badgerseam.clock import Clock
from badgerseam.store.client import (
    ConditionFailedError,
    LeaseExpiredError,
    MalformedRequestError,
    RateLimitedError,
    StateClient,
    StateUnavailableError,
)
from badgerseam.store.commit_statistics import CommitStatistics, oldest_of
from badgerseam.store.limits import TransactionLimits
from badgerseam.store.proposal import (
    WRITE_RESERVE,
    Proposal,
    ProposalDroppedError,
    ProposalRejectedError,
    ProposalTooLargeError,
    Urgency,
)
from badgerseam.store.proposal_queue import ProposalQueue, QueueEntry
from badgerseam.store.rejections import RejectionLog
from badgerseam.store.transaction_batch import TransactionBatch
from badgerseam.wire.state import Write

__all__ = [
    "GroupCommitter",
    "ProposalDroppedError",
    "ProposalRejectedError",
    "ProposalTooLargeError",
    "Urgency",
]

MAX_IN_FLIGHT = 3
"""Transactions that may be waiting for a response at the same time."""
MAX_SKIPPED = 8
"""How many proposals may be skipped because they do not fit, before a transaction is closed."""
MIN_TIMER_S = 0.005
MAX_TIMER_S = 0.5
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
MAX_BACKOFF_DOUBLINGS = 5
RATE_LIMIT_PENALTY_S = 0.2
"""A response of 429 takes this many seconds' worth of writes from the budget."""


class GroupCommitter:
    """Sends proposals, in order of urgency, within the write budget."""

    def __init__(self, clock: Clock, state: StateClient) -> None:
        self._clock = clock
        self._state = state
        self.limits = TransactionLimits.of(state.params)
        """The limits by which transactions are composed. They are lowered if the state service
        rejects a transaction within them."""
        self._rejections = RejectionLog(clock)
        self._queue = ProposalQueue()
        self._in_flight = 0
        self._tasks = BackgroundTasks()
        self._timer: asyncio.TimerHandle | None = None
        self._failures = 0
        """Consecutive transactions that failed because the state service was unavailable."""
        self._backoff_until = 0.0
        self._statistics = CommitStatistics(clock)

    def report(self) -> str:
        """Formats the writes and wait times since the previous report."""
        return self._statistics.report(len(self._queue), oldest_of(self._queue))

    def log_overdue(self) -> None:
        """Logs the oldest proposal if it waits longer than expected; called every few seconds."""
        oldest = oldest_of(self._queue)
        if oldest is not None:
            self._statistics.log_overdue(oldest, self._obstacle(oldest))

    def _obstacle(self, proposal: Proposal) -> str:
        """Returns what a queued proposal waits for."""
        if self._clock.now() < self._backoff_until:
            return "backoff"
        if self._in_flight >= MAX_IN_FLIGHT:
            return "responses"
        reserve = self._reserve(proposal.urgency)
        if self._state.write_budget.wait_s(len(proposal.writes), reserve) > 0:
            return "budget"
        return "more urgent proposals"

    def max_writes(self, urgency: Urgency) -> int:
        """Returns how many writes of this urgency a transaction may contain and be sent without
        using the reserve of more urgent ones; at least one."""
        burst = self._state.write_budget.burst - self._reserve(urgency)
        return max(1, min(self.limits.writes, int(burst)))

    def wait_s(self, urgency: Urgency) -> float:
        """Returns how long one write of this urgency would have to wait now."""
        backoff_s = self._backoff_until - self._clock.now()
        return max(0.0, backoff_s, self._state.write_budget.wait_s(1.0, self._reserve(urgency)))

    async def commit(
        self,
        urgency: Urgency,
        conditions: dict[str, int],
        writes: list[Write],
        deadline_s: float | None = None,
        should_send: Callable[[], bool] | None = None,
        promote_after_s: float | None = None,
        priority_class: int = 0,
        stored_value_bytes: int = 0,
    ) -> int:
        """Commits the writes if all conditions hold, and returns the revision of the commit.

        `should_send`: called before each attempt to send; the proposal is dropped if it returns
        False.
        `promote_after_s`: how long the proposal may wait before it is promoted to the urgency of a
        placement; None: it is never promoted.
        `priority_class`: among proposals of the same urgency, lower classes are sent first. After
        half of the deadline the proposal is moved to the first class.
        `stored_value_bytes`: the limit for values if it is higher than that by which transactions
        are composed. It is for a record that was stored under it, and that the site's level does
        not allow to split yet.

        Raises `ConditionFailedError` if a condition failed (an earlier attempt that received no
        response may have been applied), `LeaseExpiredError` if a write's lease has ended,
        `StateUnavailableError` after the deadline, `ProposalTooLargeError` if the proposal exceeds
        a limit and was not sent, `ProposalRejectedError` if the state service has rejected it, and
        `ProposalDroppedError` if `should_send` has returned False.
        """
        now = self._clock.now()
        proposal = Proposal(
            urgency,
            conditions,
            writes,
            asyncio.get_running_loop().create_future(),
            proposed_at=now,
            deadline=None if deadline_s is None else now + deadline_s,
            should_send=should_send,
            stored_value_bytes=stored_value_bytes,
        )
        if self._fail_too_large(proposal):
            return await proposal.future
        self._schedule_promotions(proposal, promote_after_s, deadline_s, priority_class)
        self._queue.push(proposal, self._clock.now())
        self._send_ready()
        return await proposal.future

    def _schedule_promotions(
        self,
        proposal: Proposal,
        promote_after_s: float | None,
        deadline_s: float | None,
        priority_class: int,
    ) -> None:
        loop = asyncio.get_running_loop()
        if promote_after_s is not None:
            proposal.promoted_at = proposal.proposed_at + promote_after_s
            loop.call_later(promote_after_s, self._promote, proposal)
        if priority_class and deadline_s is not None:
            # Otherwise a steady stream of proposals of lower classes could keep it unsent.
            proposal.priority_class = priority_class
            loop.call_later(deadline_s / 2, self._promote_to_first_class, proposal)

    def _promote_to_first_class(self, proposal: Proposal) -> None:
        if not proposal.future.done():
            proposal.priority_class = 0
            self._promote(proposal)

    def _promote(self, proposal: Proposal) -> None:
        """Queues an unsent proposal again at its higher urgency or class."""
        if not proposal.future.done() and not proposal.is_sent:
            self._queue.push(proposal, self._clock.now())
            self._send_ready()

    def _requeue(self, proposal: Proposal) -> None:
        proposal.is_sent = False
        if not self._fail_too_large(proposal):
            self._queue.push(proposal, self._clock.now())

    def _fail_too_large(self, proposal: Proposal) -> bool:
        """Fails a proposal that exceeds a limit; returns whether it does.

        No transaction can contain it, so that it would stay in the queue for ever.
        """
        value_bytes = max(self.limits.value_bytes, proposal.stored_value_bytes)
        limits = replace(self.limits, value_bytes=value_bytes)
        violation = limits.violation(proposal.size)
        if violation is None:
            return False
        self._rejections.add_violation(violation)
        proposal.fail(ProposalTooLargeError(violation))
        return True

    def _send_ready(self) -> None:
        """Sends what the write budget allows now, and sets a timer for the rest."""
        while self._queue and self._in_flight < MAX_IN_FLIGHT:
            batch = self._build_batch(self._clock.now())
            if not batch.proposals:
                break
            self._in_flight += 1
            self._tasks.spawn(self._send(batch))
        if self._queue and self._timer is None and self._in_flight < MAX_IN_FLIGHT:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._timer_delay_s(), self._on_timer)

    def _timer_delay_s(self) -> float:
        """Returns the time until the first queued proposal may be sent, within bounds."""
        backoff_s = self._backoff_until - self._clock.now()
        first = self._queue.first()
        budget_s = self._state.write_budget.wait_s(len(first.writes), self._reserve(first.urgency))
        return max(MIN_TIMER_S, min(max(backoff_s, budget_s), MAX_TIMER_S))

    def _on_timer(self) -> None:
        self._timer = None
        self._send_ready()

    def _reserve(self, urgency: Urgency) -> float:
        return WRITE_RESERVE[urgency] * self._state.write_budget.burst

    def _build_batch(self, now: float) -> TransactionBatch:
        """Takes the most urgent proposals that fit together into one transaction off the queue."""
        batch = TransactionBatch(self.limits)
        skipped: list[QueueEntry] = []
        while (entry := self._queue.pop(now)) is not None:
            proposal = entry.proposal
            if now < self._backoff_until:
                skipped.append(entry)
                continue
            if not batch.fits(proposal):
                skipped.append(entry)
                if len(skipped) >= MAX_SKIPPED:
                    break
                continue
            if not self._charge(proposal):
                skipped.append(entry)
                break
            proposal.is_sent = True
            batch.add(proposal)
            if proposal.has_lease:
                break
        self._queue.restore(skipped)
        return batch

    def _charge(self, proposal: Proposal) -> bool:
        """Charges the proposal's writes to the budget; False if the budget is too low now."""
        return self._state.write_budget.take(len(proposal.writes), self._reserve(proposal.urgency))

    async def _send(self, batch: TransactionBatch) -> None:
        try:
            revision = await self._state.compare_and_swap(batch.conditions(), batch.writes())
        except ConditionFailedError as error:
            self._failures = 0
            self._on_condition_failed(batch, error)
        except LeaseExpiredError as error:
            for proposal in batch.proposals:
                proposal.fail(error)
        except MalformedRequestError as error:
            self._on_malformed(batch, error)
        except StateUnavailableError as error:
            self._on_unavailable(batch, error)
        else:
            self._failures = 0
            self._on_committed(batch, revision)
        finally:
            self._in_flight -= 1
            self._send_ready()

    def _on_committed(self, batch: TransactionBatch, revision: int) -> None:
        for proposal in batch.proposals:
            self._statistics.add(proposal)
            if not proposal.future.done():
                proposal.future.set_result(revision)

    def _on_condition_failed(self, batch: TransactionBatch, error: ConditionFailedError) -> None:
        """Fails the proposals whose conditions do not hold, and queues the others again."""
        for proposal in batch.proposals:
            if proposal.future.done():
                continue
            failed = [key for key in error.failed if key in proposal.conditions]
            if failed:
                proposal.fail(ConditionFailedError(failed))
            else:
                self._requeue(proposal)

    def _on_unavailable(self, batch: TransactionBatch, error: StateUnavailableError) -> None:
        """Queues all proposals again after a backoff, whether or not they were executed."""
        for proposal in batch.proposals:
            self._requeue(proposal)
        self._failures += 1
        if isinstance(error, RateLimitedError):
            self._state.write_budget.penalize(RATE_LIMIT_PENALTY_S)
        backoff_s = MIN_BACKOFF_S * 2 ** min(self._failures, MAX_BACKOFF_DOUBLINGS)
        self._backoff_until = self._clock.now() + min(backoff_s, MAX_BACKOFF_S)

    def _on_malformed(self, batch: TransactionBatch, error: MalformedRequestError) -> None:
        """Queues the proposals again to be sent one at a time; fails one that was sent alone.

        Otherwise a single malformed proposal would block the others forever. The limits are
        lowered, so that its writer composes less instead of the same again.
        """
        if len(batch.proposals) > 1:
            for proposal in batch.proposals:
                proposal.must_be_alone = True
                self._requeue(proposal)
            return
        [proposal] = batch.proposals
        self._rejections.add_rejection(proposal.size, self.limits, str(error))
        proposal.fail(ProposalRejectedError(str(error)))
        self.limits = self.limits.lowered(proposal.size)
        for queued in self._queue:
            self._fail_too_large(queued)
