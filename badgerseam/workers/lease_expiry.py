"""Machines that are not heard any more: lost by the end of their leases, or asked and given up."""

from __future__ import annotations

import logging
from collections.abc import Callable

from badgerseam.background import BackgroundTasks
from badgerseam.cluster.heartbeat_proxy import HeartbeatProxy
from badgerseam.cluster.membership import Membership
from badgerseam.http.client import HttpClient
from badgerseam.model.job import Stage
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.settings import Tunables
from badgerseam.workers.command_acks import (
    MISSED_BEFORE_GIVING_UP,
    fails_to_acknowledge,
    reset_missed_answers,
)
from badgerseam.workers.heartbeats import HeartbeatProcessor
from badgerseam.workers.inspection import inspect

log = logging.getLogger("badgerseam.workers")

PROBE_S = 1.5
UNRESPONSIVE_INTERVALS = 3
"""Report intervals without a report after which a machine is asked."""
RECENT_INTERVALS = 1.5
"""Report intervals within which any machine that can reach us has reported."""


class LeaseExpiry:
    """Looks for machines that fell silent."""

    def __init__(
        self,
        model: Model,
        member: Membership,
        http: HttpClient,
        tunables: Tunables,
        changed: Callable[[], None],
        deputies: HeartbeatProxy,
        reports: HeartbeatProcessor,
    ) -> None:
        self._model = model
        self._member = member
        self._http = http
        self._clock = model.clock
        self._changed = changed
        self._deputies = deputies
        self._reports = reports
        self._tasks = BackgroundTasks()
        workers = model.settings.params.workers
        # Steady clocks differ by up to 0.05 %; the rest of the margin is for slow code.
        self._lease_bound_s = workers.lease_s * 1.001 + tunables.margin_s
        self._report_s = workers.report_s

    def expire_leases(self) -> list[Machine]:
        """Give up machines whose leases have certainly ended; returned are those newly lost."""
        model = self._model
        lost = []
        now = self._clock.now()
        self._deputies.observe_peers()
        others: dict[str, float] = {}
        entitled = [shard.owned and self._member.holds_lease_for(shard) for shard in model.shards]
        for machine in model.machines.values():
            if machine.lost or not entitled[machine.shard]:
                continue
            other = others.get(machine.zone)
            if other is None:
                other = others[machine.zone] = self._deputies.leases_renewed_until(machine.zone)
            ends = max(machine.lease_renewed_at, other) + self._lease_bound_s
            if now <= ends or (machine.incarnation == 0 and not machine.attempts):
                continue
            if not self._deputies.confirmed_since(ends):
                continue
            log.info("%s is lost with %d tasks", machine.name, len(machine.attempts))
            machine.lost = True
            lost.append(machine)
            for attempt in list(machine.attempts.values()):
                if attempt.stage != Stage.PLANNED and not attempt.finishing:
                    model.unplace(attempt)
        return lost

    def probe_unresponsive(self) -> None:
        """Ask machines that fell silent, and give those up that do not answer.

        Their release makes certain that their tasks are gone, sooner than the end of their lease.
        If many are silent at once, or a whole zone is, the trouble lies between us and them, and
        nothing is given up.
        """
        model = self._model
        now = self._clock.now()
        silent: list[Machine] = []
        mute: list[Machine] = []
        heard: dict[str, int] = {}
        for machine in model.machines.values():
            shard = model.shards[machine.shard]
            if machine.lost or machine.dropped or not shard.owned:
                continue
            # One that has not been heard since a takeover is missed as well, if it held work, or
            # has sent what might be late copies since.
            heard_at = max(
                machine.last_heartbeat_at,
                machine.owned_since,
                machine.first_unverified_at or machine.owned_since,
            )
            if now - heard_at > UNRESPONSIVE_INTERVALS * self._report_s:
                if (
                    machine.incarnation > 0
                    or machine.attempts
                    or machine.first_unverified_at is not None
                ):
                    silent.append(machine)
            elif machine.missed_answers:
                if fails_to_acknowledge(machine, now) and not machine.given_up:
                    mute.append(machine)
            elif (
                machine.incarnation > 0
                and now - machine.last_heartbeat_at <= RECENT_INTERVALS * self._report_s
            ):
                # Only what was heard since the others fell silent tells that it lies with them:
                # when a zone is cut off, all of its machines fall silent within one interval, and
                # the first to be missed were given up since the last seemed to be heard still.
                heard[machine.zone] = heard.get(machine.zone, 0) + 1
        many = len(silent) + len(mute) > max(1, sum(heard.values()) // 2)
        for machine in mute:
            if many or not heard.get(machine.zone):
                # Nor does what it missed count when that is over: of a zone that heals, the first
                # to be heard had the others given up.
                reset_missed_answers(machine, now)
            elif machine.missed_answers > machine.missed_when_probed and not machine.probing:
                machine.probing = True
                machine.missed_when_probed = machine.missed_answers
                self._tasks.spawn(self._probe_unacknowledging(machine))
        if many:
            return
        for machine in silent:
            if not machine.address:
                # Its address is still to be learnt: nothing can be said about it.
                continue
            if heard.get(machine.zone) and not machine.probing and not machine.given_up:
                machine.probing = True
                self._tasks.spawn(self._probe(machine))

    async def _probe_unacknowledging(self, machine: Machine) -> None:
        """Ask a machine that reports and has shown to hear no answer; one that answers is left a
        few answers more, since what it loses may come to an end."""
        term = machine.term
        report = await inspect(self._http, machine.address, PROBE_S)
        with self._model.lock:
            machine.probing = False
            shard = self._model.shards[machine.shard]
            if machine.term != term or not shard.owned or machine.given_up:
                return
            if not fails_to_acknowledge(
                machine, self._clock.now()
            ) or not self._member.lease_confirmed_within(2 * self._report_s):
                return
            if report is not None and report.machine == machine.name:
                self._reports.apply(machine, report, direct=True)
                if machine.missed_answers < MISSED_BEFORE_GIVING_UP:
                    return
            log.info(
                "%s reports and does not obey, with %d tasks: given up",
                machine.name,
                len(machine.attempts),
            )
            machine.unacknowledging = machine.given_up = True
            # Shown, this token tells that it hears again.
            machine.token_bump += 1
            machine.sched_view = None
        self._changed()

    async def _probe(self, machine: Machine) -> None:
        term, heard_at = machine.term, machine.last_heartbeat_at
        report = await inspect(self._http, machine.address, PROBE_S)
        with self._model.lock:
            machine.probing = False
            # A share that has changed hands meanwhile has forgotten both the asking and the time
            # of the last report, so that these alone do not tell it.
            owned = self._model.shards[machine.shard].owned
            if not owned or machine.term != term or machine.last_heartbeat_at != heard_at:
                return
            if report is not None and report.machine == machine.name:
                # It lives, and finds no way to us by itself: what it says counts all the same. That
                # renews no lease: when one has ended for want of reports, others would as well.
                machine.last_heartbeat_at = self._clock.now()
                if report.incarnation > machine.mute_incarnation > 0:
                    log.info("%s answers and does not report: given up", machine.name)
                    machine.given_up = machine.draining = True
                machine.mute_incarnation = machine.mute_incarnation or max(
                    machine.incarnation, report.incarnation
                )
                self._reports.apply(machine, report, direct=True)
                self._model.shards_to_plan.add(machine.shard)
                self._model.machines_to_push.add(machine.index)
            elif self._member.lease_confirmed_within(2 * self._report_s):
                log.info(
                    "%s is silent with %d tasks: given up", machine.name, len(machine.attempts)
                )
                machine.given_up = True
                machine.draining = True
        self._changed()
