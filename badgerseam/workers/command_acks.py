"""Whether machines that report hear what they are answered.

One whose reports arrive while answers and commands do not reach it looks alive and obeys nothing:
its tasks are killed whenever its lease ends, and launches go to it for ever. A 200 that was sent
proves nothing. What a report tells of the answers before it:

- A token that only the last answer told and that the report does not show: that answer was not
  heard. If it shows it, it was. Tokens rise rarely, so that one is raised as soon as there is
  anything to find out.
- A report that comes later than a worker waits for an answer (4 s by the protocol): the last one
  has probably not reached it, or a report of its own was lost.
- A new session within a lease of an answer: that answer was not heard, else the session would last.
"""

from __future__ import annotations

import logging

from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.wire import workers as wire

log = logging.getLogger("badgerseam.workers")

PATIENCE_S = 4.0
"""How long a worker waits for an answer, by the protocol."""
SPREAD = 1.25
"""Report intervals between two reports at most, if all is well."""
ENOUGH = 2
"""Answers not heard, one after the other, after which a machine is asked and may be given up: one
that is lost, or one report, is no reason."""
CERTAIN = 4
"""So many, and it is given up even if it can be asked: that renews no lease."""


class Obedience:
    """Takes note of answers to reports and of what the next reports show of them."""

    def __init__(self, model: Model) -> None:
        workers = model.settings.params.workers
        self._lease_s = workers.lease_s
        self._late_s = max(PATIENCE_S, SPREAD * workers.report_s)

    def reported(self, machine: Machine, report: wire.Report, now: float) -> None:
        """A report has come that is newer than what is known, and is not taken over yet."""
        passed_s = now - machine.told_at
        if machine.deaf:
            taken_back(machine, report)
            return
        if machine.told > machine.told_directly:
            missed = report.token < machine.told
            if not missed:
                obeys(machine)
        else:
            # An answer that was heard renewed the lease from the sending of its report, which the
            # worker had not given up yet.
            renewed = report.session > machine.session and passed_s < self._lease_s - PATIENCE_S
            missed = machine.told_at > 0 and (passed_s > self._late_s or renewed)
        if missed:
            if not machine.unheard:
                machine.unheard_at = machine.told_at
            machine.unheard += 1
            machine.node = None

    def answered(self, machine: Machine, now: float) -> None:
        """The report is about to be answered with 200; the token may be raised for that."""
        if machine.unheard and machine.token <= machine.shown_token and not machine.busy:
            # Whatever carries a lower token is refused from then on: it is as if unanswered.
            machine.bump += 1
        machine.told = machine.token if machine.token > machine.shown_token else 0
        machine.told_at = now


def disobeys(machine: Machine, now: float) -> bool:
    """Whether a machine has heard no answer for longer than one lost packet takes."""
    return machine.unheard >= ENOUGH and now - machine.unheard_at > PATIENCE_S


def excuse(machine: Machine, now: float) -> None:
    """What a machine has missed is no fault of its own. It goes on being unfit for work, and more
    has to be missed before it is asked."""
    machine.unheard, machine.unheard_at, machine.unheard_asked = ENOUGH, now, ENOUGH


def obeys(machine: Machine) -> None:
    """A machine has shown what only an answer can have told it."""
    machine.unheard = machine.unheard_asked = 0


def taken_back(machine: Machine, report: wire.Report) -> None:
    """A machine that was given up may be used again if a direct command has reached it after all,
    and its release has not been asked for. Where direct commands reached it all the time, that
    tells nothing of answers."""
    if (
        machine.deaf
        and report.token >= machine.token
        and machine.unheard < CERTAIN
        and not machine.dropped
        and not machine.returning
    ):
        log.info("%s obeys again", machine.name)
        machine.deaf = machine.given_up = False
        machine.node = None
        obeys(machine)
