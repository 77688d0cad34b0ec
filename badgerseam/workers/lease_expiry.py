"""Machines that are not heard any more: lost by the end of their leases, or probed and given up."""

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
from badgerseam.settings import Tunables
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
"""Heartbeat intervals without a heartbeat after which a machine is probed."""
RECENT_INTERVALS = 1.5
"""Heartbeat intervals within which any machine that can reach us has sent a heartbeat."""


@dataclass(slots=True)
class _Responsiveness:
    """The machines of owned shards by how they respond."""

    silent: list[Machine] = field(default_factory=list)
    """No heartbeat for UNRESPONSIVE_INTERVALS."""
    unacknowledging: list[Machine] = field(default_factory=list)
    """They send heartbeats and acknowledge no answer."""
    heard_by_zone: Counter[str] = field(default_factory=Counter)
    """How many machines of a zone have sent a heartbeat within RECENT_INTERVALS."""

    @property
    def is_widespread(self) -> bool:
        """Whether so many machines are affected that the trouble lies between us and them."""
        affected = len(self.silent) + len(self.unacknowledging)
        return affected > max(1, self.heard_by_zone.total() // 2)


class LeaseExpiry:
    """Finds machines that are silent or acknowledge nothing, and machines whose lease has ended."""

    def __init__(
        self,
        model: Model,
        member: Membership,
        http: HttpClient,
        tunables: Tunables,
        on_change: Callable[[], None],
        heartbeat_proxy: HeartbeatProxy,
        heartbeats: HeartbeatProcessor,
    ) -> None:
        self._model = model
        self._member = member
        self._http = http
        self._clock = model.clock
        self._on_change = on_change
        self._heartbeat_proxy = heartbeat_proxy
        self._heartbeats = heartbeats
        self._tasks = BackgroundTasks()
        workers = model.settings.params.workers
        self._lease_bound_s = workers.lease_s * CLOCK_DRIFT + tunables.margin_s
        self._max_silence_s = UNRESPONSIVE_INTERVALS * workers.report_s
        self._recent_s = RECENT_INTERVALS * workers.report_s
        self._confirmation_s = 2 * workers.report_s

    def expire_leases(self) -> list[Machine]:
        """Give up machines whose leases have certainly ended; return those newly lost.

        The model's lock is held.
        """
        model = self._model
        lost = []
        now = self._clock.now()
        self._heartbeat_proxy.observe_peers()
        renewed_by_zone: dict[str, float] = {}
        may_expire = [
            shard.owned and self._member.may_answer_heartbeats_for(shard) for shard in model.shards
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
        """A machine's lease has certainly ended, and its tasks with it."""
        log.info("machine lost machine=%s tasks=%d", machine.name, len(machine.attempts))
        machine.lost = True
        for attempt in list(machine.attempts.values()):
            if attempt.stage != Stage.PLANNED and not attempt.finishing:
                self._model.unplace(attempt)

    def probe_unresponsive(self) -> None:
        """Probe machines that do not respond, and give those up that do not answer.

        Their release makes certain that their tasks are gone, sooner than the end of their lease.
        If many are silent at once, or a whole zone is, the trouble lies between us and them, and
        nothing is given up. The model's lock is held.
        """
        now = self._clock.now()
        machines = self._classify(now)
        for machine in machines.unacknowledging:
            if machines.is_widespread or not machines.heard_by_zone[machine.zone]:
                # Nor does what it missed count when that is over: of a zone that heals, the first
                # to be heard had the others given up.
                reset_missed_answers(machine, now)
            elif machine.missed_answers > machine.missed_when_probed and not machine.probing:
                machine.probing = True
                machine.missed_when_probed = machine.missed_answers
                self._tasks.spawn(self._probe_unacknowledging(machine))
        if machines.is_widespread:
            return
        for machine in machines.silent:
            if not machine.address:
                # Its address is still to be learnt: nothing can be said about it.
                continue
            is_zone_heard = machines.heard_by_zone[machine.zone] > 0
            if is_zone_heard and not machine.probing and not machine.given_up:
                machine.probing = True
                self._tasks.spawn(self._probe_silent(machine))

    def _classify(self, now: float) -> _Responsiveness:
        """Sort the machines of owned shards by how they respond."""
        result = _Responsiveness()
        heard_by_zone = result.heard_by_zone
        shards = self._model.shards
        max_silence_s = self._max_silence_s
        for machine in self._model.machines.values():
            if machine.lost or machine.dropped or not shards[machine.shard].owned:
                continue
            unheard_s = now - machine.last_heartbeat_at
            if unheard_s > max_silence_s and now - _silent_since(machine) > max_silence_s:
                if _is_missed(machine):
                    result.silent.append(machine)
            elif machine.missed_answers:
                if fails_to_acknowledge(machine, now) and not machine.given_up:
                    result.unacknowledging.append(machine)
            elif machine.incarnation > 0 and unheard_s <= self._recent_s:
                # Only what was heard since the others fell silent shows that the trouble lies with
                # them: when a zone is cut off, all of its machines fall silent within one interval,
                # and the first to be missed were given up since the last seemed to be heard still.
                heard_by_zone[machine.zone] += 1
        return result

    async def _probe_unacknowledging(self, machine: Machine) -> None:
        """Probe a machine that sends heartbeats and acknowledges no answer.

        One that answers the probe is left a few answers more, since the loss may come to an end.
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
            # Shown, this token proves that answers reach it again.
            machine.token_bump += 1
            machine.sched_view = None
        self._on_change()

    async def _probe_silent(self, machine: Machine) -> None:
        """Probe a machine that sends no heartbeats, and give it up if it does not answer."""
        term, heard_at = machine.term, machine.last_heartbeat_at
        heartbeat = await inspect(self._http, machine.address, PROBE_DEADLINE_S)
        with self._model.lock:
            machine.probing = False
            # A shard that has changed hands meanwhile has forgotten both the probe and the time of
            # the last heartbeat, so that these alone do not show it.
            is_unchanged = machine.last_heartbeat_at == heard_at
            if not self._is_owned_under(machine, term) or not is_unchanged:
                return
            if heartbeat is not None and heartbeat.machine == machine.name:
                self._apply_probe(machine, heartbeat)
            elif self._is_lease_recent():
                _log_given_up(machine, "silent")
                machine.given_up = machine.draining = True
        self._on_change()

    def _apply_probe(self, machine: Machine, heartbeat: wire.Heartbeat) -> None:
        """Apply the answer of a machine whose heartbeats do not reach us.

        What it shows counts all the same, but renews no lease: when one has ended for want of
        heartbeats, others would as well.
        """
        machine.last_heartbeat_at = self._clock.now()
        if heartbeat.incarnation > machine.mute_incarnation > 0:
            _log_given_up(machine, "mute")
            machine.given_up = machine.draining = True
        machine.mute_incarnation = machine.mute_incarnation or max(
            machine.incarnation, heartbeat.incarnation
        )
        self._heartbeats.apply(machine, heartbeat, direct=True)
        self._model.shards_to_plan.add(machine.shard)
        self._model.machines_to_push.add(machine.index)

    def _is_owned_under(self, machine: Machine, term: int) -> bool:
        """Whether a machine has not changed hands since it was probed under a term."""
        return machine.term == term and self._model.shards[machine.shard].owned

    def _is_lease_recent(self) -> bool:
        """Whether the state service has confirmed our lease so recently that what is not heard is
        no fault of ours."""
        return self._member.lease_confirmed_within(self._confirmation_s)


def _silent_since(machine: Machine) -> float:
    """When the silence of a machine began: with its last heartbeat, but not before a takeover."""
    owned_since = machine.owned_since
    return max(machine.last_heartbeat_at, owned_since, machine.first_unverified_at or owned_since)


def _is_missed(machine: Machine) -> bool:
    """Whether a silent machine is expected to send heartbeats: it has sent some, or it held work at
    a takeover, or it has sent what might be late copies since."""
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
