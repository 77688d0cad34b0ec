"""Reconciles the record of the site's classes with the options of the controllers.

The leader writes the classes of the options once all configured controllers announce the same
options in their own records. Those records are attached to leases, so at the revision of the write
every controller was running with exactly these options. A controller that ends, or restarts with
other options, changes the version of its record, so that the write fails. The write of a leader
that has lost its claim fails in the same way, however late it is applied.
"""

from __future__ import annotations

import logging
import math

from badgerseam.background import BackgroundTasks
from badgerseam.classes.table import digest_of, to_record
from badgerseam.cluster.membership import Membership
from badgerseam.model.keys import CLASSES_KEY, LEADER_KEY, node_key
from badgerseam.model.model import Model
from badgerseam.model.state import ObservedClaim, ObservedController
from badgerseam.options.classes import ClassesOptions
from badgerseam.store.client import ConditionFailedError, LeaseExpiredError, StateUnavailableError
from badgerseam.store.committer import (
    GroupCommitter,
    ProposalDroppedError,
    ProposalTooLargeError,
    Urgency,
)
from badgerseam.wire import state as wire
from badgerseam.wire.classes import Objection

log = logging.getLogger("badgerseam.classes")

DEADLINE_S = 2.0
RETRY_S = 1.0
"""The delay after a write that failed or whose outcome is unknown."""
TOO_LARGE_RETRY_S = 60.0
"""The delay after a record that is too large to be stored."""


def objections(
    digest: str,
    order: list[str],
    controllers: dict[str, ObservedController],
    include_absent: bool = True,
) -> list[Objection]:
    """Returns the configured controllers whose options do not have the classes of a digest, with
    the reason for each.

    `order`: the names of all configured controllers; `include_absent`: whether controllers that are
    down or cut off from the state service are included.
    """
    found = []
    for name in order:
        controller = controllers.get(name)
        if controller is None:
            if include_absent:
                found.append(Objection(name, "is down, or cut off from the state service"))
            continue
        announced = controller.record.classes_digest
        if not announced:
            found.append(Objection(name, "keeps no classes (no section classes in its options)"))
        elif announced != digest:
            reason = f"has other classes in its options ({announced}, not {digest})"
            found.append(Objection(name, reason))
    return found


def conditions(
    order: list[str],
    controllers: dict[str, ObservedController],
    record: tuple[wire.StoredClasses, int] | None,
    leader: ObservedClaim | None = None,
) -> dict[str, int]:
    """Returns the versions on which a change of the record is conditional: that of the record
    itself, those of the records of all configured controllers, and that of the leader's claim if
    the leader writes."""
    versions = {CLASSES_KEY: 0 if record is None else record[1]}
    if leader is not None:
        versions[LEADER_KEY] = leader.version
    # An absent controller has version 0: the write fails if it has returned, as it may have other
    # options.
    for name in order:
        controller = controllers.get(name)
        versions[node_key(name)] = 0 if controller is None else controller.version
    return versions


class ClassRecordKeeper:
    """Reconciles the site's record of classes with the options while this controller is the leader,
    and writes classes that operators set."""

    def __init__(
        self,
        model: Model,
        membership: Membership,
        committer: GroupCommitter,
        options: ClassesOptions,
    ) -> None:
        self._model = model
        self._membership = membership
        self._committer = committer
        self._clock = model.clock
        self._options = options
        self.digest = membership.registration.classes_digest = digest_of(options)
        self._writing = False
        self._retry_at = -math.inf
        self._logged_objections: tuple[Objection, ...] = ()
        self._tasks = BackgroundTasks()

    def is_update_due(self) -> bool:
        """Whether the options differ from those in force when the record was last written.

        A record that an operator has set stays in force until the options change.
        """
        record = self._model.classes
        return record is None or record[0].options != self.digest

    def objections(self) -> list[Objection]:
        """Returns the controllers whose options differ from those of this one, with reasons."""
        return objections(self.digest, self._membership.controller_names, self._model.controllers)

    def review(self) -> None:
        """Writes the record if an update is due and no controller's options differ.

        Called a few times a second, with the model's lock held.
        """
        now = self._clock.now()
        if not self._model.loaded or self._writing or now < self._retry_at:
            return
        if not self._membership.is_leader:
            self._logged_objections = ()
            return
        # While no update is due, a controller that is down is no objection.
        is_due = self.is_update_due()
        found = tuple(
            objections(
                self.digest,
                self._membership.controller_names,
                self._model.controllers,
                include_absent=is_due,
            )
        )
        self._log_changed(found)
        if found or not is_due:
            return
        self._writing = True
        self._tasks.spawn(self._write())

    def _log_changed(self, found: tuple[Objection, ...]) -> None:
        if found != self._logged_objections:
            self._logged_objections = found
            if found:
                reasons = "; ".join(f"{entry.node} {entry.reason}" for entry in found)
                log.info('class record update blocked objections="%s"', reasons)

    async def _write(self) -> None:
        model, membership = self._model, self._membership
        try:
            with model.lock:
                leader = model.leader_claim
                if leader is None or self.objections():
                    # The leader has changed, or an objection has appeared, since the review.
                    return
                versions = conditions(
                    membership.controller_names, model.controllers, model.classes, leader
                )
                changed_at = round(self._clock.wall(), 3)
                record = to_record(self._options, membership.node, changed_at, self.digest)
            await self._commit(record, versions, Urgency.CLAIM)
        except (
            ConditionFailedError,
            StateUnavailableError,
            ProposalDroppedError,
            LeaseExpiredError,
        ) as error:
            # The error does not tell whether the write was applied; the state watcher does.
            log.info("class record write failed error=%r", error)
            is_too_large = isinstance(error, ProposalTooLargeError)
            self._retry_at = self._clock.now() + (TOO_LARGE_RETRY_S if is_too_large else RETRY_S)
        finally:
            self._writing = False

    async def set(self, options: ClassesOptions) -> list[Objection]:
        """Writes the classes that an operator has set; returns the controllers that prevent the
        write.

        Raises ConditionFailedError if the record or a controller has changed meanwhile, and
        StateUnavailableError or ProposalDroppedError if it is unknown whether the write was
        applied.
        """
        model, membership = self._model, self._membership
        with model.lock:
            # A controller that is down prevents nothing: it reads the record when it restarts.
            found = [
                entry
                for entry in objections(
                    self.digest,
                    membership.controller_names,
                    model.controllers,
                    include_absent=False,
                )
                if not model.controllers[entry.node].record.classes_digest
            ]
            if found:
                return found
            versions = conditions(membership.controller_names, model.controllers, model.classes)
            changed_at = round(self._clock.wall(), 3)
            record = to_record(options, f"operator at {membership.node}", changed_at, self.digest)
        await self._commit(record, versions, Urgency.USER)
        return []

    async def _commit(
        self, record: wire.StoredClasses, versions: dict[str, int], urgency: Urgency
    ) -> None:
        value = wire.raw(record)
        should_send = (lambda: self._membership.is_leader) if LEADER_KEY in versions else None
        revision = await self._committer.commit(
            urgency,
            versions,
            [wire.Write(put=CLASSES_KEY, value=value)],
            DEADLINE_S,
            should_send=should_send,
        )
        names = ",".join(entry.name for entry in record.classes) or "none"
        log.info('class record written by="%s" revision=%d classes=%s', record.by, revision, names)
        with self._model.lock:
            self._model.apply(CLASSES_KEY, value, revision)
