"""Detects machines that send heartbeats but do not receive the answers.

If a machine's heartbeats arrive while answers and commands do not reach it, it appears healthy but
executes nothing: its tasks are killed whenever its lease ends, and launches are sent to it without
end. Sending a 200 does not prove that the worker received it. The next heartbeat shows what became
of the answer:

- If only the last answer carried a certain token, a heartbeat that shows the token proves that the
  answer was received, and one that does not show it proves that the answer was missed. Tokens rise
  rarely otherwise, so the token is raised as soon as an answer seems to have been missed.
- If a heartbeat arrives later than a worker waits for an answer (4 s by the protocol), the last
  answer has probably not reached the worker, or one of its heartbeats was lost.
- If a new incarnation appears sooner than one lease duration after an answer, the answer was
  missed, since otherwise the earlier incarnation would still hold its lease.
"""

from __future__ import annotations

import logging

from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.wire import workers as wire

log = logging.getLogger("badgerseam.workers")

ACK_TIMEOUT_S = 4.0
"""Seconds for which a worker waits for an answer, by the protocol."""
MAX_HEARTBEAT_SPACING = 1.25
"""Maximum heartbeat intervals between two heartbeats if no message is lost."""
MISSED_BEFORE_PROBE = 2
"""Consecutive missed answers after which a machine is probed and may be given up; a single lost
answer or heartbeat is not enough."""
MISSED_BEFORE_GIVING_UP = 4
"""Consecutive missed answers after which a machine is given up even if it answers a probe, since
probes renew no lease."""


class CommandAcknowledgements:
    """Records the answers to heartbeats, and determines from later heartbeats which were missed."""

    def __init__(self, model: Model) -> None:
        workers = model.settings.params.workers
        self._lease_s = workers.lease_s
        self._late_s = max(ACK_TIMEOUT_S, MAX_HEARTBEAT_SPACING * workers.report_s)

    def on_heartbeat(self, machine: Machine, heartbeat: wire.Heartbeat, now: float) -> None:
        """Counts the last answer as missed if a newer heartbeat, not applied yet, shows that."""
        if machine.unacknowledging:
            readmit_if_acknowledged(machine, heartbeat)
            return
        if machine.last_answer_token > machine.highest_direct_token:
            is_missed = heartbeat.fencing_token < machine.last_answer_token
            if not is_missed:
                record_acknowledgement(machine)
        else:
            is_missed = self._is_probably_missed(machine, heartbeat, now)
        if is_missed:
            if not machine.missed_answers:
                machine.missed_since = machine.last_answer_at
            machine.missed_answers += 1
            machine.cached_snapshot = None

    def _is_probably_missed(self, machine: Machine, heartbeat: wire.Heartbeat, now: float) -> bool:
        """Whether the last answer has probably been missed, if its token does not show that."""
        if machine.last_answer_at <= 0:
            return False
        passed_s = now - machine.last_answer_at
        # A received answer renews the lease counted from when its heartbeat was sent, which was at
        # most ACK_TIMEOUT_S before the answer, since the worker was still waiting for it.
        is_lease_lost_early = (
            heartbeat.incarnation > machine.incarnation and passed_s < self._lease_s - ACK_TIMEOUT_S
        )
        return passed_s > self._late_s or is_lease_lost_early

    def raise_token_if_missed(self, machine: Machine) -> None:
        """Raises the token before an answer, if the one before seems to have been missed."""
        if (
            machine.missed_answers
            and machine.fencing_token <= machine.acknowledged_token
            and not machine.command_in_flight
        ):
            # Once the worker has the higher token, it refuses everything with a lower one, which
            # then counts as unanswered.
            machine.raise_token()

    def on_response(self, machine: Machine, now: float) -> None:
        """Records that a heartbeat is answered with 200 and the present token."""
        machine.last_answer_token = (
            machine.fencing_token if machine.fencing_token > machine.acknowledged_token else 0
        )
        machine.last_answer_at = now


def fails_to_acknowledge(machine: Machine, now: float) -> bool:
    """Whether a machine has missed several answers in a row, for longer than a single lost packet
    explains."""
    return (
        machine.missed_answers >= MISSED_BEFORE_PROBE and now - machine.missed_since > ACK_TIMEOUT_S
    )


def reset_missed_answers(machine: Machine, now: float) -> None:
    """Resets the count of missed answers when they are not the machine's own fault.

    The machine stays excluded from new work, and has to miss more answers before it is probed.
    """
    machine.missed_answers = MISSED_BEFORE_PROBE
    machine.missed_since = now
    machine.missed_when_probed = MISSED_BEFORE_PROBE


def record_acknowledgement(machine: Machine) -> None:
    """Records that a machine has shown a token that only an answer can have carried."""
    machine.missed_answers = machine.missed_when_probed = 0


def readmit_if_acknowledged(machine: Machine, heartbeat: wire.Heartbeat) -> None:
    """Readmits a machine that was given up, if it shows a token sent to it since.

    Its release must not have been requested. A machine that has missed MISSED_BEFORE_GIVING_UP
    answers is not readmitted: direct commands may have reached it all the time, which proves
    nothing about answers.
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
        machine.cached_snapshot = None
        record_acknowledgement(machine)
