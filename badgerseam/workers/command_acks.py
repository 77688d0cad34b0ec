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

ACK_TIMEOUT_S = 4.0
"""How long a worker waits for an answer, by the protocol."""
ANSWER_SPACING = 1.25
"""Report intervals between two reports at most, if all is well."""
MISSED_BEFORE_PROBE = 2
"""Answers not heard, one after the other, after which a machine is asked and may be given up: one
that is lost, or one report, is no reason."""
MISSED_BEFORE_GIVING_UP = 4
"""So many, and it is given up even if it can be asked: that renews no lease."""


class CommandAcknowledgements:
    """Takes note of answers to reports and of what the next reports show of them."""

    def __init__(self, model: Model) -> None:
        workers = model.settings.params.workers
        self._lease_s = workers.lease_s
        self._late_s = max(ACK_TIMEOUT_S, ANSWER_SPACING * workers.report_s)

    def on_heartbeat(self, machine: Machine, report: wire.Heartbeat, now: float) -> None:
        """A report has come that is newer than what is known, and is not taken over yet."""
        passed_s = now - machine.last_answer_at
        if machine.unacknowledging:
            readmit_if_reached(machine, report)
            return
        if machine.last_answer_token > machine.highest_direct_token:
            missed = report.fencing_token < machine.last_answer_token
            if not missed:
                acknowledged(machine)
        else:
            # An answer that was heard renewed the lease from the sending of its report, which the
            # worker had not given up yet.
            renewed = (
                report.incarnation > machine.incarnation
                and passed_s < self._lease_s - ACK_TIMEOUT_S
            )
            missed = machine.last_answer_at > 0 and (passed_s > self._late_s or renewed)
        if missed:
            if not machine.missed_answers:
                machine.missed_since = machine.last_answer_at
            machine.missed_answers += 1
            machine.sched_view = None

    def on_response(self, machine: Machine, now: float) -> None:
        """The report is about to be answered with 200; the token may be raised for that."""
        if (
            machine.missed_answers
            and machine.fencing_token <= machine.acknowledged_token
            and not machine.command_in_flight
        ):
            # Whatever carries a lower token is refused from then on: it is as if unanswered.
            machine.token_bump += 1
        machine.last_answer_token = (
            machine.fencing_token if machine.fencing_token > machine.acknowledged_token else 0
        )
        machine.last_answer_at = now


def fails_to_acknowledge(machine: Machine, now: float) -> bool:
    """Whether a machine has heard no answer for longer than one lost packet takes."""
    return (
        machine.missed_answers >= MISSED_BEFORE_PROBE and now - machine.missed_since > ACK_TIMEOUT_S
    )


def reset_missed_answers(machine: Machine, now: float) -> None:
    """What a machine has missed is no fault of its own. It goes on being unfit for work, and more
    has to be missed before it is asked."""
    machine.missed_answers, machine.missed_since, machine.missed_when_probed = (
        MISSED_BEFORE_PROBE,
        now,
        MISSED_BEFORE_PROBE,
    )


def acknowledged(machine: Machine) -> None:
    """A machine has shown what only an answer can have told it."""
    machine.missed_answers = machine.missed_when_probed = 0


def readmit_if_reached(machine: Machine, report: wire.Heartbeat) -> None:
    """A machine that was given up may be used again if a direct command has reached it after all,
    and its release has not been asked for. Where direct commands reached it all the time, that
    tells nothing of answers."""
    if (
        machine.unacknowledging
        and report.fencing_token >= machine.fencing_token
        and machine.missed_answers < MISSED_BEFORE_GIVING_UP
        and not machine.dropped
        and not machine.releasing
    ):
        log.info("%s obeys again", machine.name)
        machine.unacknowledging = machine.given_up = False
        machine.sched_view = None
        acknowledged(machine)
