"""The record of the site's classes: who may change it, and on which conditions.

The leader writes what the options say, once all configured controllers announce the same ones with
their own records. These lie on leases: at the revision of the write each controller was alive with
just these options. One that ends, or comes back with others, changes its stamp, and the write
fails; so does that of a leader whose claim has gone, however late it is applied.
"""

from __future__ import annotations

import logging

from badgerseam.background import BackgroundTasks
from badgerseam.classes.table import digest_of, to_record
from badgerseam.cluster.membership import Membership
from badgerseam.model.keys import CLASSES_KEY, LEADER_KEY, node_key
from badgerseam.model.model import Model
from badgerseam.model.state import ObservedClaim, ObservedController
from badgerseam.options.classes import ClassesOptions
from badgerseam.store.client import ConditionFailedError, LeaseExpiredError, StateUnavailableError
from badgerseam.store.committer import GroupCommitter, ProposalDroppedError, Urgency
from badgerseam.wire import state as wire
from badgerseam.wire.classes import Objection

log = logging.getLogger("badgerseam.classes")

DEADLINE_S = 2.0
PAUSE_S = 1.0
"""After a write that was refused or not answered."""


def objections(
    digest: str, order: list[str], nodes: dict[str, ObservedController], missing: bool = True
) -> list[Objection]:
    """Which controllers do not have the classes of that digest in their options, and what they
    have; `missing`: those that are not there count."""
    found = []
    for name in order:
        present = nodes.get(name)
        if present is None:
            if missing:
                found.append(Objection(name, "is down, or cut off from the state service"))
        elif not present.record.classes_digest:
            found.append(Objection(name, "keeps no classes (no section classes in its options)"))
        elif present.record.classes_digest != digest:
            reason = (
                f"has other classes in its options ({present.record.classes_digest}, not {digest})"
            )
            found.append(Objection(name, reason))
    return found


def conditions(
    order: list[str],
    nodes: dict[str, ObservedController],
    record: tuple[wire.StoredClasses, int] | None,
    leader: ObservedClaim | None = None,
) -> dict[str, int]:
    """The stamps on which a change of the record holds: its own, those of all controllers that
    were looked at, and the leader's claim where it is the leader that writes."""
    found = {CLASSES_KEY: 0 if record is None else record[1]}
    if leader is not None:
        found[LEADER_KEY] = leader.version
    # One that was not there must not come with other options meanwhile: no record is stamp 0.
    found.update({node_key(n): nodes[n].version if n in nodes else 0 for n in order})
    return found


class ClassRecordKeeper:
    """Keeps the record in line with the options, while this controller leads."""

    def __init__(
        self, model: Model, member: Membership, committer: GroupCommitter, options: ClassesOptions
    ) -> None:
        self._model = model
        self._member = member
        self._committer = committer
        self._clock = model.clock
        self._options = options
        self.digest = member.registration.classes_digest = digest_of(options)
        self._writing = False
        self._not_before = -1e9
        self._told: tuple[Objection, ...] = ()
        self._tasks = BackgroundTasks()

    def is_update_due(self) -> bool:
        """Whether the options differ from those that the record was last made from. One that
        operators have set stands until the options change."""
        record = self._model.classes
        return record is None or record[0].options != self.digest

    def objections(self) -> list[Objection]:
        """Who disagrees with this controller's options."""
        return objections(self.digest, self._member.order, self._model.controllers)

    def review(self) -> None:
        """Called a few times a second, with the model's lock held."""
        now = self._clock.now()
        if not self._model.loaded or self._writing or now < self._not_before:
            return
        if not self._member.is_leader:
            self._told = ()
            return
        # Where nothing is to be written, one that is down is nobody who disagrees.
        due = self.is_update_due()
        found = tuple(
            objections(self.digest, self._member.order, self._model.controllers, missing=due)
        )
        if found != self._told:
            self._told = found
            if found:
                listed = "; ".join(f"{entry.node} {entry.reason}" for entry in found)
                log.info("classes of the options have to wait: %s", listed)
        if found or not due:
            return
        self._writing = True
        self._tasks.spawn(self._write())

    async def _write(self) -> None:
        model, member = self._model, self._member
        try:
            with model.lock:
                leader = model.leader_claim
                if leader is None or self.objections():
                    # Changed since the review that found nothing in the way.
                    return
                when = conditions(member.order, model.controllers, model.classes, leader)
                at = round(self._clock.wall(), 3)
                record = to_record(self._options, member.node, at, self.digest)
            await self._commit(record, when, Urgency.CLAIM)
        except (
            ConditionFailedError,
            StateUnavailableError,
            ProposalDroppedError,
            LeaseExpiredError,
        ) as error:
            # Whether it was applied, the replica will tell: nothing else is done on it.
            log.info("classes were not written: %r", error)
            self._not_before = self._clock.now() + PAUSE_S
        finally:
            self._writing = False

    async def set(self, options: ClassesOptions) -> list[Objection]:
        """Make what an operator wants the record; who keeps it from that. Refused if anything has
        changed meanwhile, Unavailable if it is not known to be written."""
        model, member = self._model, self._member
        with model.lock:
            # Controllers that are down read the record when they come back.
            found = [
                entry
                for entry in objections(self.digest, member.order, model.controllers, missing=False)
                if not model.controllers[entry.node].record.classes_digest
            ]
            if found:
                return found
            when = conditions(member.order, model.controllers, model.classes)
            at = round(self._clock.wall(), 3)
            record = to_record(options, f"operator at {member.node}", at, self.digest)
        await self._commit(record, when, Urgency.USER)
        return []

    async def _commit(
        self, record: wire.StoredClasses, when: dict[str, int], urgency: Urgency
    ) -> None:
        value = wire.raw(record)
        wanted = (lambda: self._member.is_leader) if LEADER_KEY in when else None
        revision = await self._committer.commit(
            urgency, when, [wire.Write(put=CLASSES_KEY, value=value)], DEADLINE_S, wanted=wanted
        )
        names = ", ".join(entry.name for entry in record.classes) or "none"
        log.info("classes by %s since revision %d: %s", record.by, revision, names)
        with self._model.lock:
            self._model.apply(CLASSES_KEY, value, revision)
