"""Whether machines that send heartbeats receive the answers.

One whose heartbeats arrive while answers and commands do not reach it seems alive and executes
nothing: its tasks are killed whenever its lease ends, and launches are sent to it for ever. A 200
that was sent proves nothing. What a heartbeat shows of the answers before it:

- A token that only the last answer carried and that the heartbeat does not show: that answer was
  missed. If it shows it, the answer was received. Tokens rise rarely, so that one is raised as soon
  as there is anything to find out.
- A heartbeat that comes later than a worker waits for an answer (4 s by the protocol): the last
  answer has probably not reached it, or a heartbeat of its own was lost.
- A new incarnation within a lease of an answer: that answer was missed, else the incarnation would
  last.
"""

from __future__ import annotations

import logging

from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.wire import workers as wire

log = logging.getLogger("badgerseam.workers")

ACK_TIMEOUT_S = 4.0
"""How long a worker waits for an answer, by the protocol."""
MAX_HEARTBEAT_SPACING = 1.25
"""Heartbeat intervals between two heartbeats at most, if all is well."""
MISSED_BEFORE_PROBE = 2
"""Answers missed, one after the other, after which a machine is probed and may be given up: one
lost answer, or one lost heartbeat, is no reason."""
MISSED_BEFORE_GIVING_UP = 4
"""So many, and it is given up even if it answers a probe: that renews no lease."""


class CommandAcknowledgements:
    """Records answers to heartbeats, and what the next heartbeats show of them."""

    def __init__(self, model: Model) -> None:
        workers = model.settings.params.workers
        self._lease_s = workers.lease_s
        self._late_s = max(ACK_TIMEOUT_S, MAX_HEARTBEAT_SPACING * workers.report_s)

    def on_heartbeat(self, machine: Machine, heartbeat: wire.Heartbeat, now: float) -> None:
        """A heartbeat has come that is newer than what is known, and is not applied yet."""
        if machine.unacknowledging:
            readmit_if_reached(machine, heartbeat)
            return
        if machine.last_answer_token > machine.highest_direct_token:
            is_missed = heartbeat.fencing_token < machine.last_answer_token
            if not is_missed:
                acknowledged(machine)
        else:
            is_missed = self._is_probably_missed(machine, heartbeat, now)
        if is_missed:
            if not machine.missed_answers:
                machine.missed_since = machine.last_answer_at
            machine.missed_answers += 1
            machine.sched_view = None

    def _is_probably_missed(self, machine: Machine, heartbeat: wire.Heartbeat, now: float) -> bool:
        """Whether the last answer, which no token tells apart, has probably been missed."""
        if machine.last_answer_at <= 0:
            return False
        passed_s = now - machine.last_answer_at
        # An answer that was received renewed the lease from the sending of its heartbeat, which the
        # worker had not given up yet.
        is_session_lost = (
            heartbeat.incarnation > machine.incarnation and passed_s < self._lease_s - ACK_TIMEOUT_S
        )
        return passed_s > self._late_s or is_session_lost

    def on_response(self, machine: Machine, now: float) -> None:
        """A heartbeat is about to be answered with 200; the token may be raised for that."""
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
    """Whether a machine has missed every answer for longer than one lost packet takes."""
    return (
        machine.missed_answers >= MISSED_BEFORE_PROBE and now - machine.missed_since > ACK_TIMEOUT_S
    )


def reset_missed_answers(machine: Machine, now: float) -> None:
    """What a machine has missed is no fault of its own.

    It goes on being unfit for work, and has to miss more before it is probed.
    """
    machine.missed_answers = MISSED_BEFORE_PROBE
    machine.missed_since = now
    machine.missed_when_probed = MISSED_BEFORE_PROBE


def acknowledged(machine: Machine) -> None:
    """A machine has shown what only an answer can have carried."""
    machine.missed_answers = machine.missed_when_probed = 0


def readmit_if_reached(machine: Machine, heartbeat: wire.Heartbeat) -> None:
    """Readmit a machine that was given up, if a direct command has reached it after all.

    Its release must not have been asked for. Where direct commands reached it all the time, that
    shows nothing of answers.
    """
    if (
        machine.unacknowledging
        and heartbeat.fencing_token >= machine.fencing_token
        and machine.missed_answers < MISSED_BEFORE_GIVING_UP
        and not machine.dropped
        and not machine.releasing
    ):
        log.info("machine readmitted machine=%s", machine.name)
        machine.unacknowledging = machine.given_up = False
        machine.sched_view = None
        acknowledged(machine)
