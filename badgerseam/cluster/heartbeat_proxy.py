"""Answering reports for an owner that cannot be reached, so that its workers' leases go on.

A zone that is cut off goes on working inside, and two zones that lose each other still reach the
state service: a worker there may find a controller, but not the one that owns its share. A
controller that cannot reach an owner either answers such a report in its place: with the token that
the worker has shown, and no command but to halt what was cancelled. That changes nothing but the
time at which the lease ends, so what has to be kept is the certainty about that end:

- A controller that has lost the state service is a deputy only for workers of its own zone, which
  may be cut off with it, only after its state lease must have ended there, and for as long as an
  owner that was cut off would answer (`cut_bound_s`). Its own record goes with that lease, and
  owners count the bound from when they see it go.
- One that has not lost it says first for which owners it stands in, by a record on its lease, and
  acts on that no longer than the lease must last, and than it follows the state service. As long as
  the record names an owner, none of its machines' leases is known to have ended.
- Session and token stay valid by that, and with them whatever the owner has sent that is held back.
  So a machine is not answered where a launch of a cancelled task may be among it: where the pages
  place one that the machine does not show. Its lease ends, and the launch is refused.
- Before an owner concludes from silence that a lease has ended, it has the state service compare
  these records with what it knows, at a time at which the lease would have ended already.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from badgerseam.background import BackgroundTasks
from badgerseam.cluster.membership import Membership
from badgerseam.cluster.partition import PartitionedOperation
from badgerseam.model.job import Phase
from badgerseam.model.keys import node_key, proxy_key
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.state import STALE_S, Shard
from badgerseam.store.client import (
    ConditionFailedError,
    LeaseExpiredError,
    StateClient,
    StateUnavailableError,
)
from badgerseam.store.committer import GroupCommitter, ProposalDroppedError, Urgency
from badgerseam.wire import state as wire
from badgerseam.wire.workers import Heartbeat

log = logging.getLogger("badgerseam.cluster")

SLACK_S = 0.6
"""A state lease may end 100 ms late, and a request takes its time."""
VERIFY_S = 0.3
"""Between comparisons."""
DEADLINE_S = 2.0


class HeartbeatProxy:
    """Both sides: standing in for owners, and counting with siblings that do."""

    def __init__(
        self,
        model: Model,
        member: Membership,
        state: StateClient,
        committer: GroupCommitter,
        ttl_s: float,
        unreachable: Callable[[str], bool],
    ) -> None:
        self.partition = PartitionedOperation(model, member, self.is_counted_on_in)
        self._model = model
        self._member = member
        self._state = state
        self._committer = committer
        self._ttl_s = ttl_s
        self._unreachable = unreachable
        self._clock = model.clock
        self._zone = model.settings.zone
        self._siblings = {sibling.node: sibling.zone for sibling in model.settings.siblings}
        self._marks: dict[str, tuple[int, int]] = {}
        """Of each sibling, the stamps of its records as last seen."""
        self._apart: dict[str, float] = {}
        """Until when each sibling may have renewed leases in its zone, the state service lost."""
        self._named: dict[str, tuple[int, bool]] = {}
        """Of each sibling the latest stamp of a record that names us, and whether it still does."""
        self._named_until = -1e9
        """Until when one of them may have renewed leases of ours."""
        self._parted = False
        self._verified_at = -1e9
        self._asked_at = -1e9
        self._announced: frozenset[str] = frozenset()
        """Owners that our record names, while we may act on it."""
        self._announced_on: int | None = None
        """The lease that this record stands on."""
        self.leases_may_end_early = False
        """Whether siblings' leases are ended before their time here."""
        self._loads = 0
        self._open: tuple[int, int, frozenset[str]] | None = None
        """A record of ours without an answer: the lease and stamp that it stands on, and whom it
        names. As long as these are what is known, it may still be carried out."""
        self._writing = False
        self._tasks = BackgroundTasks()

    # ---- as a deputy ----

    def is_proxy_for(self, shard: Shard, zone: str) -> bool:
        """Whether we answer reports of the share's workers in a zone in its owner's place."""
        held, member = shard.claim, self._member
        if held is None or held.record.node == member.node:
            return False
        if not self._unreachable(held.record.node):
            return False
        if not member.may_renew_worker_leases:
            return False
        if held.record.node in self._announced and member.lease_is_current:
            return self._model.is_up_to_date and self._announced_on == member.lease
        return self.is_counted_on_in(zone)

    def launch_may_be_delayed(self, machine: Machine, report: Heartbeat) -> bool:
        """Whether a launch of a cancelled task may be held back on its way to a machine, and a
        lease that we renew would keep its token and session valid beyond the time for that task.

        One that its owner saw end is in no page any more (`store/stale_pages.py`). Sessions tell
        nothing: a copy of an old report cannot be told from the report of a machine whose lease has
        ended for lack of our answer, and an owner may reach a machine that does not reach it.
        """
        model = self._model
        # What we follow is up to STALE_S old when we act on it.
        over = self._clock.now() - (model.stale_renewal_bound_s - STALE_S)
        shown = {(item.task, item.attempt) for item in report.tasks}
        return any(
            attempt.job.phase == Phase.CANCELLED
            and attempt.job.ended_at < over
            and (attempt.name, attempt.number) not in shown
            for attempt in machine.attempts.values()
        )

    def is_counted_on_in(self, zone: str) -> bool:
        """Whether owners count with our answers in a zone without a word of ours: our record must
        have ended with its lease, and the bound must not."""
        member = self._member
        return (
            zone == self._zone
            and not member.lease_confirmed_within(self._ttl_s + SLACK_S)
            and member.may_renew_worker_leases
        )

    def review(self) -> None:
        """Say that we stand in, or that we don't any more; called a few times a second."""
        model, member = self._model, self._member
        if not model.loaded or self._writing or not member.lease_is_current:
            return
        wanted = frozenset(
            name for name in self._siblings if name in model.controllers and self._unreachable(name)
        )
        known = model.proxies.get(member.node)
        named: frozenset[str] = frozenset()
        if known is not None and known.record.lease == member.lease:
            named = frozenset(known.record.owners)
        # From here on nothing is answered for one that is to be named no more, whatever becomes of
        # the write.
        self._announced = wanted & named
        self._announced_on = member.lease
        stamp = 0 if known is None else known.version
        lost = self._open if self._open and self._open[:2] == (member.lease, stamp) else None
        if lost is not None:
            # Carried out late, it names others; owners would count without us before we see it.
            self._announced &= lost[2]
        if (wanted != named or lost is not None) and member.lease is not None:
            self._writing = True
            self._tasks.spawn(self._write_record(wanted, member.lease, stamp))

    async def _write_record(self, owners: frozenset[str], lease: int, version: int) -> None:
        # A record is never taken away, except by the end of its lease: one that came and went
        # between two looks would leave no trace.
        key = proxy_key(self._member.node)
        record = wire.ProxyRecord(self._member.node, lease, sorted(owners))
        write = wire.Write(put=key, value=wire.raw(record), lease=lease)
        try:
            revision = await self._committer.commit(
                Urgency.CLAIM,
                {key: version},
                [write],
                DEADLINE_S,
                wanted=lambda: self._member.lease == lease,
            )
            with self._model.lock:
                self._model.apply(key, write.value, revision)
            log.info("standing in for %s", " ".join(sorted(owners)) or "nobody any more")
        except (
            ConditionFailedError,
            StateUnavailableError,
            ProposalDroppedError,
            LeaseExpiredError,
        ) as error:
            log.debug("%s: not written: %r", key, error)
            if isinstance(error, StateUnavailableError | ConditionFailedError):
                # Refused, it may have been carried out without an answer: until the replica shows
                # it, owners may count without us as well.
                before = self._open
                if before is not None and before[:2] == (lease, version):
                    owners &= before[2]
                self._open = lease, version, owners
        finally:
            self._writing = False

    # ---- as an owner ----

    def observe_peers(self) -> None:
        """Take note of the siblings' records; called a few times a second."""
        model, member = self._model, self._member
        now = self._clock.now()
        if not member.lease_confirmed_within(self._ttl_s / 2):
            self._parted = True
        elif self._parted:
            # If it was an outage, every lease has had its full time again, a sibling's that is cut
            # off among them: its record tells nothing before that has ended.
            self._parted = False
            for name in self._siblings:
                self._apart[name] = max(self._apart.get(name, now), now + self._ttl_s + SLACK_S)
        # A replica that was read anew does not tell what came and went before.
        reloaded, self._loads = self._loads != model.load_count, model.load_count
        for name in self._siblings:
            node, deputy = model.controllers.get(name), model.proxies.get(name)
            mark = (0 if node is None else node.version, 0 if deputy is None else deputy.version)
            if reloaded or self._marks.get(name, (-1, 0))[0] != mark[0]:
                # Back with a record of its own, it has the state service again.
                self._apart[name] = now + (0.0 if node is not None else model.partition_bound_s)
            self._marks[name] = mark
            named_at = model.proxy_bounds.get((name, member.node), 0)
            still = deputy is not None and member.node in deputy.record.owners
            before = self._named.get(name)
            if reloaded or still or before != (named_at, still):
                # It does, or did since the last look. Where its record went with its lease, that
                # may have been ended early (badgerseam/standby/failure_detector.py), and it acts
                # on the record
                # for as long as the lease would have lasted. Read anew, that may go unseen.
                gone = deputy is None and (
                    self.leases_may_end_early if reloaded else before is not None
                )
                late = self._ttl_s + SLACK_S if gone else 0.0
                self._named_until = max(self._named_until, now + late)
            self._named[name] = named_at, still

    def leases_renewed_until(self, zone: str) -> float:
        """Until when somebody may have renewed leases of ours in a zone."""
        apart = (self._apart[name] for name, near in self._siblings.items() if near == zone)
        return max(self._named_until, max(apart, default=-1e9))

    def confirmed_since(self, at: float) -> bool:
        """Whether what is known of the siblings was true at that time; asks if not."""
        if not self._siblings:
            return True
        if self._parted or not self._marks:
            return False
        if self._verified_at >= at:
            return True
        now = self._clock.now()
        if now - self._asked_at >= VERIFY_S:
            self._asked_at = now
            self._tasks.spawn(self._verify(dict(self._marks)))
        return False

    async def _verify(self, marks: dict[str, tuple[int, int]]) -> None:
        sent = self._clock.now()
        conditions = []
        for name, (node, deputy) in marks.items():
            conditions.append(wire.Condition(node_key(name), node))
            conditions.append(wire.Condition(proxy_key(name), deputy))
        try:
            await self._state.compare_and_swap(conditions, [], DEADLINE_S)
        except (ConditionFailedError, StateUnavailableError) as error:
            log.debug("siblings' records not confirmed: %r", error)
            return
        if marks == self._marks:
            self._verified_at = sent
