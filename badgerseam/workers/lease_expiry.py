"""Machines that are not heard any more: lost by the end of their leases, or asked and given up."""

from __future__ import annotations

import logging
from collections.abc import Callable

from badgerseam.background import BackgroundTasks
from badgerseam.cluster.heartbeat_proxy import Deputies
from badgerseam.cluster.membership import Member
from badgerseam.http.client import Client
from badgerseam.model.job import Stage
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.settings import Tunables
from badgerseam.workers.command_acks import CERTAIN, disobeys, excuse
from badgerseam.workers.heartbeats import Reports
from badgerseam.workers.inspection import inspect

log = logging.getLogger("badgerseam.workers")

PROBE_S = 1.5
SILENT_REPORTS = 3
"""Report intervals without a report after which a machine is asked."""
RECENT_REPORTS = 1.5
"""Report intervals within which any machine that can reach us has reported."""


class Silence:
    """Looks for machines that fell silent."""

    def __init__(
        self,
        model: Model,
        member: Member,
        http: Client,
        tunables: Tunables,
        changed: Callable[[], None],
        deputies: Deputies,
        reports: Reports,
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

    def watch(self) -> list[Machine]:
        """Give up machines whose leases have certainly ended; returned are those newly lost."""
        model = self._model
        lost = []
        now = self._clock.now()
        self._deputies.look()
        others: dict[str, float] = {}
        entitled = [share.owned and self._member.entitled(share) for share in model.shares]
        for machine in model.machines.values():
            if machine.lost or not entitled[machine.share]:
                continue
            other = others.get(machine.zone)
            if other is None:
                other = others[machine.zone] = self._deputies.renewed_until(machine.zone)
            ends = max(machine.answered_at, other) + self._lease_bound_s
            if now <= ends or (machine.session == 0 and not machine.attempts):
                continue
            if not self._deputies.certain_since(ends):
                continue
            log.info("%s is lost with %d tasks", machine.name, len(machine.attempts))
            machine.lost = True
            lost.append(machine)
            for attempt in list(machine.attempts.values()):
                if attempt.stage != Stage.PLANNED and not attempt.finishing:
                    model.unplace(attempt)
        return lost

    def suspect(self) -> None:
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
            share = model.shares[machine.share]
            if machine.lost or machine.dropped or not share.owned:
                continue
            # One that has not been heard since a takeover is missed as well, if it held work, or
            # has sent what might be late copies since.
            heard_at = max(machine.heard_at, machine.taken_at, machine.spoke_at or machine.taken_at)
            if now - heard_at > SILENT_REPORTS * self._report_s:
                if machine.session > 0 or machine.attempts or machine.spoke_at is not None:
                    silent.append(machine)
            elif machine.unheard:
                if disobeys(machine, now) and not machine.given_up:
                    mute.append(machine)
            elif machine.session > 0 and now - machine.heard_at <= RECENT_REPORTS * self._report_s:
                # Only what was heard since the others fell silent tells that it lies with them:
                # when a zone is cut off, all of its machines fall silent within one interval, and
                # the first to be missed were given up since the last seemed to be heard still.
                heard[machine.zone] = heard.get(machine.zone, 0) + 1
        many = len(silent) + len(mute) > max(1, sum(heard.values()) // 2)
        for machine in mute:
            if many or not heard.get(machine.zone):
                # Nor does what it missed count when that is over: of a zone that heals, the first
                # to be heard had the others given up.
                excuse(machine, now)
            elif machine.unheard > machine.unheard_asked and not machine.probing:
                machine.probing = True
                machine.unheard_asked = machine.unheard
                self._tasks.spawn(self._try(machine))
        if many:
            return
        for machine in silent:
            if not machine.addr:
                # Its address is still to be learnt: nothing can be said about it.
                continue
            if heard.get(machine.zone) and not machine.probing and not machine.given_up:
                machine.probing = True
                self._tasks.spawn(self._probe(machine))

    async def _try(self, machine: Machine) -> None:
        """Ask a machine that reports and has shown to hear no answer; one that answers is left a
        few answers more, since what it loses may come to an end."""
        term = machine.term
        report = await inspect(self._http, machine.addr, PROBE_S)
        with self._model.lock:
            machine.probing = False
            share = self._model.shares[machine.share]
            if machine.term != term or not share.owned or machine.given_up:
                return
            if not disobeys(machine, self._clock.now()) or not self._member.fresh(
                2 * self._report_s
            ):
                return
            if report is not None and report.machine == machine.name:
                self._reports.apply(machine, report, direct=True)
                if machine.unheard < CERTAIN:
                    return
            log.info(
                "%s reports and does not obey, with %d tasks: given up",
                machine.name,
                len(machine.attempts),
            )
            machine.deaf = machine.given_up = True
            # Shown, this token tells that it hears again.
            machine.bump += 1
            machine.node = None
        self._changed()

    async def _probe(self, machine: Machine) -> None:
        term, heard_at = machine.term, machine.heard_at
        report = await inspect(self._http, machine.addr, PROBE_S)
        with self._model.lock:
            machine.probing = False
            # A share that has changed hands meanwhile has forgotten both the asking and the time
            # of the last report, so that these alone do not tell it.
            owned = self._model.shares[machine.share].owned
            if not owned or machine.term != term or machine.heard_at != heard_at:
                return
            if report is not None and report.machine == machine.name:
                # It lives, and finds no way to us by itself: what it says counts all the same. That
                # renews no lease: when one has ended for want of reports, others would as well.
                machine.heard_at = self._clock.now()
                if report.session > machine.mute > 0:
                    log.info("%s answers and does not report: given up", machine.name)
                    machine.given_up = machine.draining = True
                machine.mute = machine.mute or max(machine.session, report.session)
                self._reports.apply(machine, report, direct=True)
                self._model.kicks.add(machine.share)
                self._model.pushes.add(machine.index)
            elif self._member.fresh(2 * self._report_s):
                log.info(
                    "%s is silent with %d tasks: given up", machine.name, len(machine.attempts)
                )
                machine.given_up = True
                machine.draining = True
        self._changed()
