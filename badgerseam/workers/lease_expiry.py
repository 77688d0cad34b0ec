"""Marks machines as lost when their leases end, and gives up machines that do not respond."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from badgerseam.background import BackgroundTasks
from badgerseam.cluster.heartbeat_proxy import HeartbeatProxy
from badgerseam.cluster.membership import Membership
from badgerseam.http.client import HttpClient
from badgerseam.model.job import Stage
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.state import CLOCK_DRIFT
from badgerseam.tunables import Tunables
from badgerseam.wire import workers as wire
from badgerseam.workers.command_acks import (
    MISSED_BEFORE_GIVING_UP,
    fails_to_acknowledge,
    reset_missed_answers,
)
from badgerseam.workers.heartbeats import HeartbeatProcessor
from badgerseam.workers.inspection import inspect

log = logging.getLogger("badgerseam.workers")

PROBE_DEADLINE_S = 1.5
UNRESPONSIVE_INTERVALS = 3
"""Heartbeat intervals without a heartbeat after which a machine is overdue and is probed."""
RECENT_INTERVALS = 1.5
"""Heartbeat intervals within which every machine that can reach this controller has sent a
heartbeat."""


@dataclass(slots=True)
class _Responsiveness:
    """The machines of owned shards, classified by how they respond."""

    overdue: list[Machine] = field(default_factory=list)
    """Machines without a heartbeat for UNRESPONSIVE_INTERVALS."""
    unacknowledging: list[Machine] = field(default_factory=list)
    """Machines that send heartbeats but acknowledge no answer."""
    reporting_by_zone: Counter[str] = field(default_factory=Counter)
    """Number of machines per zone that have sent a heartbeat within RECENT_INTERVALS."""

    @property
    def is_widespread(self) -> bool:
        """Whether so many machines are affected that the network between them and this controller,
        or the controller itself, must be at fault."""
        affected = len(self.overdue) + len(self.unacknowledging)
        return affected > max(1, self.reporting_by_zone.total() // 2)


class LeaseExpiry:
    """Finds machines whose lease has ended, that are overdue, or that acknowledge no answer."""

    def __init__(
        self,
        model: Model,
        membership: Membership,
        http: HttpClient,
        tunables: Tunables,
        on_change: Callable[[], None],
        heartbeat_proxy: HeartbeatProxy,
        heartbeats: HeartbeatProcessor,
    ) -> None:
        self._model = model
        self._membership = membership
        self._http = http
        self._clock = model.clock
        self._on_change = on_change
        self._heartbeat_proxy = heartbeat_proxy
        self._heartbeats = heartbeats
        self._tasks = BackgroundTasks()
        workers = model.settings.params.workers
        self._lease_bound_s = workers.lease_s * CLOCK_DRIFT + tunables.margin_s
        self._overdue_after_s = UNRESPONSIVE_INTERVALS * workers.report_s
        self._recent_s = RECENT_INTERVALS * workers.report_s
        self._confirmation_s = 2 * workers.report_s

    def expire_leases(self) -> list[Machine]:
        """Marks machines as lost whose leases have certainly ended, and returns them.

        Callers must hold the model's lock.
        """
        model = self._model
        lost = []
        now = self._clock.now()
        self._heartbeat_proxy.observe_peers()
        renewed_by_zone: dict[str, float] = {}
        may_expire = [
            shard.owned and self._membership.may_answer_heartbeats_for(shard)
            for shard in model.shards
        ]
        for machine in model.machines.values():
            if machine.lost or not may_expire[machine.shard]:
                continue
            renewed_by_others = renewed_by_zone.get(machine.zone)
            if renewed_by_others is None:
                renewed_by_others = self._heartbeat_proxy.leases_renewed_until(machine.zone)
                renewed_by_zone[machine.zone] = renewed_by_others
            ends_at = max(machine.lease_renewed_at, renewed_by_others) + self._lease_bound_s
            if now <= ends_at or (machine.incarnation == 0 and not machine.attempts):
                continue
            if self._heartbeat_proxy.confirmed_since(ends_at):
                self._mark_lost(machine)
                lost.append(machine)
        return lost

    def _mark_lost(self, machine: Machine) -> None:
        """Marks a machine as lost: its lease has certainly ended, and its tasks with it."""
        log.info("machine lost machine=%s tasks=%d", machine.name, len(machine.attempts))
        machine.lost = True
        for attempt in list(machine.attempts.values()):
            if attempt.stage != Stage.PLANNED and not attempt.finishing:
                self._model.unplace(attempt)

    def probe_unresponsive(self) -> None:
        """Probes machines that do not respond, and gives up those that do not answer.

        Releasing a machine makes certain that its tasks are gone, sooner than waiting for its lease
        to end. If many machines or a whole zone do not respond, the network between them and this
        controller, or the controller itself, is at fault, and none is given up. Callers must hold
        the model's lock.
        """
        now = self._clock.now()
        responsiveness = self._classify_machines(now)
        for machine in responsiveness.unacknowledging:
            if responsiveness.is_widespread or not responsiveness.reporting_by_zone[machine.zone]:
                # The answers missed until now must not count after the network recovers either:
                # otherwise the first machine of a recovering zone to report would cause the others
                # to be given up.
                reset_missed_answers(machine, now)
            elif machine.missed_answers > machine.missed_when_probed and not machine.probing:
                machine.probing = True
                machine.missed_when_probed = machine.missed_answers
                self._tasks.spawn(self._probe_unacknowledging(machine))
        if responsiveness.is_widespread:
            return
        for machine in responsiveness.overdue:
            if not machine.address:
                # Its address is not known yet, so it cannot be probed.
                continue
            is_zone_reporting = responsiveness.reporting_by_zone[machine.zone] > 0
            if is_zone_reporting and not machine.probing and not machine.given_up:
                machine.probing = True
                self._tasks.spawn(self._probe_overdue(machine))

    def _classify_machines(self, now: float) -> _Responsiveness:
        """Classifies the machines of owned shards by how they respond."""
        result = _Responsiveness()
        reporting_by_zone = result.reporting_by_zone
        shards = self._model.shards
        overdue_after_s = self._overdue_after_s
        for machine in self._model.machines.values():
            if machine.lost or machine.dropped or not shards[machine.shard].owned:
                continue
            since_heartbeat_s = now - machine.last_heartbeat_at
            if (
                since_heartbeat_s > overdue_after_s
                and now - _overdue_timer_start(machine) > overdue_after_s
            ):
                if _is_expected_to_report(machine):
                    result.overdue.append(machine)
            elif machine.missed_answers:
                if fails_to_acknowledge(machine, now) and not machine.given_up:
                    result.unacknowledging.append(machine)
            elif machine.incarnation > 0 and since_heartbeat_s <= self._recent_s:
                # A machine counts as reporting only if its heartbeat came after the others stopped:
                # only then is the fault theirs. When a zone is cut off, the last heartbeats of its
                # machines are spread over one interval; with a longer window, the first machines to
                # be overdue would be given up because the others seem to report still.
                reporting_by_zone[machine.zone] += 1
        return result

    async def _probe_unacknowledging(self, machine: Machine) -> None:
        """Probes a machine that sends heartbeats but acknowledges no answer.

        A machine that answers the probe may miss up to MISSED_BEFORE_GIVING_UP answers before it is
        given up, since the message loss may be temporary.
        """
        term = machine.term
        heartbeat = await inspect(self._http, machine.address, PROBE_DEADLINE_S)
        with self._model.lock:
            machine.probing = False
            if not self._is_owned_under(machine, term) or machine.given_up:
                return
            if not fails_to_acknowledge(machine, self._clock.now()):
                return
            if not self._is_lease_recent():
                return
            if heartbeat is not None and heartbeat.machine == machine.name:
                self._heartbeats.apply(machine, heartbeat, direct=True)
                if machine.missed_answers < MISSED_BEFORE_GIVING_UP:
                    return
            _log_given_up(machine, "unacknowledging")
            machine.unacknowledging = machine.given_up = True
            # A heartbeat that shows this token proves that commands reach the worker again.
            machine.raise_token()
            machine.cached_snapshot = None
        self._on_change()

    async def _probe_overdue(self, machine: Machine) -> None:
        """Probes a machine whose heartbeats are overdue, and gives it up if it does not answer."""
        term, last_heartbeat_at = machine.term, machine.last_heartbeat_at
        heartbeat = await inspect(self._http, machine.address, PROBE_DEADLINE_S)
        with self._model.lock:
            machine.probing = False
            # If the shard changed owners meanwhile, the probe flag and the time of the last
            # heartbeat were both reset and do not reveal the change, so the term is compared too.
            is_unchanged = machine.last_heartbeat_at == last_heartbeat_at
            if not self._is_owned_under(machine, term) or not is_unchanged:
                return
            if heartbeat is not None and heartbeat.machine == machine.name:
                self._apply_probe(machine, heartbeat)
            elif self._is_lease_recent():
                _log_given_up(machine, "silent")
                machine.given_up = machine.draining = True
        self._on_change()

    def _apply_probe(self, machine: Machine, heartbeat: wire.Heartbeat) -> None:
        """Applies the answer of a machine whose heartbeats do not reach this controller.

        Its task states are applied, but its lease is not renewed. Once an incarnation without
        heartbeats has ended for lack of renewal, the machine is given up, since the next ones would
        end in the same way.
        """
        machine.last_heartbeat_at = self._clock.now()
        if heartbeat.incarnation > machine.incarnation_without_heartbeats > 0:
            _log_given_up(machine, "heartbeats_not_received")
            machine.given_up = machine.draining = True
        machine.incarnation_without_heartbeats = machine.incarnation_without_heartbeats or max(
            machine.incarnation, heartbeat.incarnation
        )
        self._heartbeats.apply(machine, heartbeat, direct=True)
        self._model.shards_to_plan.add(machine.shard)
        self._model.machines_to_push.add(machine.index)

    def _is_owned_under(self, machine: Machine, term: int) -> bool:
        """Whether this controller still owns a machine under the term in which it was probed."""
        return machine.term == term and self._model.shards[machine.shard].owned

    def _is_lease_recent(self) -> bool:
        """Whether the state service has confirmed this controller's lease so recently that missing
        heartbeats are not this controller's own fault."""
        return self._membership.lease_confirmed_within(self._confirmation_s)


def _overdue_timer_start(machine: Machine) -> float:
    """Returns the time from which a machine may become overdue.

    It is the time of its last heartbeat, but not before the takeover or the first unverified
    heartbeat since.
    """
    owned_since = machine.owned_since
    return max(machine.last_heartbeat_at, owned_since, machine.first_unverified_at or owned_since)


def _is_expected_to_report(machine: Machine) -> bool:
    """Whether a machine is expected to send heartbeats.

    That is so if it has sent some, if it has attempts (without a heartbeat, those it had at a
    takeover), or if unverified heartbeats, which may be late copies, have arrived since.
    """
    return (
        machine.incarnation > 0 or bool(machine.attempts) or machine.first_unverified_at is not None
    )


def _log_given_up(machine: Machine, reason: str) -> None:
    log.info(
        "machine given up machine=%s reason=%s tasks=%d",
        machine.name,
        reason,
        len(machine.attempts),
    )
