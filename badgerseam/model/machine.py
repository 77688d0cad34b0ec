"""Machines as the controllers know them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from badgerseam.model.job import Attempt, Job, Stage
from badgerseam.model.resources import NOTHING, Resources
from badgerseam.sched.snapshot import MachineSnapshot
from badgerseam.wire.workers import TaskStatus

BUMP_BITS = 24
"""Low bits of a fencing token, which count how often it was raised within a term."""


@dataclass(slots=True, eq=False)
class Machine:
    """A machine with a record in the state service."""

    name: str
    index: int
    shard: int
    group: str
    """The key that its record is kept in, with those of others."""
    version: int
    """Version of its group when it came to its shard, or a later one."""
    type: str
    zone: str
    spot: bool
    address: str
    rented_at: float
    """Time of day of the rental."""
    total: Resources
    dropped: bool = False
    listed_running: bool = False
    """The cloud's list has shown it running."""
    attempts: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    images: set[str] = field(default_factory=set)
    evictions: deque[float] = field(default_factory=deque)
    sched_view: MachineSnapshot | None = None
    """Cached snapshot for placement; None once something on the machine has changed."""

    # What only the owner of the shard knows; reset_owner_state() forgets it.
    term: int = 0
    token_bump: int = 0
    incarnation: int = 0
    sequence: int = 0
    acknowledged_token: int = 0
    highest_unsettled_token: int = -1
    """Highest token of a command that may still be in flight on `/do`."""
    unsettled_incarnation: int | None = None
    """The latest incarnation to which such commands were sent, where that is known of all."""
    answered_heartbeat: tuple[int, int] = (0, 0)
    """Incarnation and sequence number of the newest heartbeat that was answered; `incarnation` and
    `sequence` may be those of an answer to an inspection or a direct command."""
    first_unverified_at: float | None = None
    """When the first heartbeat came of which it is not certain that it is no late copy."""
    last_heartbeat_at: float = -1e9
    """When the latest heartbeat came."""
    owned_since: float = -1e9
    """When this controller began to act for it."""
    lease_renewed_at: float = -1e9
    """Until when its lease may have been renewed, as far as this owner knows."""
    reclaim_at: float | None = None
    reported_tasks: dict[str, TaskStatus] = field(default_factory=dict)
    untracked_use: Resources = NOTHING
    """Resources used by attempts that its heartbeats show and no record knows."""
    untracked_use_by_team: dict[int, Resources] = field(default_factory=dict)
    """The same by team."""
    command_in_flight: bool = False
    """A direct command is on its way."""
    contacted: bool = False
    """The token was sent directly since the shard or the machine changed hands."""
    next_push_at: float = 0.0
    push_failures: int = 0
    failed_jobs: set[Job] = field(default_factory=set)
    """Jobs that failed here and have not completed anything here since."""
    draining: bool = False
    idle_since: float = 0.0
    releasing: bool = False
    """Its record is being rewritten so that it is released."""
    evacuate_to: int | None = None
    """The shard that gets it as soon as its work has been stopped."""
    transferring: bool = False
    """Its record is being rewritten for another shard, or for its release."""
    probing: bool = False
    given_up: bool = False
    """Unresponsive, and to be released, which makes certain that its tasks are gone."""
    incarnation_without_heartbeats: int = 0
    """The incarnation in which it answered probes while no heartbeats came; 0: they come."""
    lost: bool = False
    """Its lease has certainly ended; its heartbeats are not answered any more."""
    response_open: bool = False
    """A response with launches may still be on its way to the worker."""
    last_answer_token: int = 0
    """Token of the latest answer to a heartbeat, if nothing else has carried one so high to the
    worker: its next heartbeat shows it if the answer was received."""
    last_answer_at: float = -1e9
    """When that answer was given."""
    highest_direct_token: int = 0
    """Highest token of direct commands, answered or not."""
    missed_answers: int = 0
    """Answers that certainly, or very likely, have not reached the worker since one that has."""
    missed_since: float = 0.0
    """When the first of these was given."""
    missed_when_probed: int = 0
    """How many these were when it was last probed."""
    unacknowledging: bool = False
    """Its heartbeats come and answers do not reach it: not answered any more, to be released."""

    def take_over(self, term: int, now: float, safe_at: float) -> None:
        """Start to act for the machine under a term, knowing nothing of its worker.

        Whatever an earlier owner sent carries a lower term, so that it may be in flight until the
        worker has shown this one; until safe_at some earlier owner may renew the lease.
        """
        self.term = max(term, self.version)
        self.token_bump = 0
        self.reset_owner_state()
        self.highest_unsettled_token = (self.term << BUMP_BITS) - 1
        self.unsettled_incarnation = None
        self.owned_since = now
        self.lease_renewed_at = safe_at

    def reset_owner_state(self) -> None:
        """Forget what only its owner knows."""
        self.incarnation = 0
        self.sequence = 0
        self.acknowledged_token = 0
        self.last_heartbeat_at = -1e9
        self.reclaim_at = None
        self.reported_tasks = {}
        self.untracked_use = NOTHING
        self.untracked_use_by_team = {}
        self.sched_view = None
        self.command_in_flight = False
        self.contacted = False
        self.next_push_at = 0.0
        self.push_failures = 0
        self.failed_jobs.clear()
        self.draining = False
        self.evacuate_to = None
        self.probing = False
        self.given_up = False
        self.lost = False
        self.incarnation_without_heartbeats = 0
        self.response_open = False
        self.first_unverified_at = None
        self.answered_heartbeat = (0, 0)
        self.last_answer_token = self.highest_direct_token = 0
        self.last_answer_at = -1e9
        self.missed_answers = self.missed_when_probed = 0
        self.unacknowledging = False

    @property
    def fencing_token(self) -> int:
        """The token of the owner's commands: its term, and how often the token was raised."""
        return (self.term << BUMP_BITS) + self.token_bump

    @property
    def heartbeat_position(self) -> tuple[int, int]:
        """Incarnation and sequence number of the newest heartbeat applied."""
        return self.incarnation, self.sequence

    def attempt_of(self, job: Job, task: int, number: int) -> Attempt | None:
        """The attempt of a task on this machine, if it is the one with this number."""
        attempt = self.attempts.get((job.index, task))
        return attempt if attempt is not None and attempt.number == number else None

    @property
    def awaits_acknowledgement(self) -> bool:
        """Whether an inspection or the token has to be sent again until the worker answers."""
        return (
            self.incarnation == 0
            or self.push_failures > 0
            or self.acknowledged_token < self.fencing_token
        )

    @property
    def is_probably_unreachable(self) -> bool:
        """Commands would probably not reach it: an answer has not, and a direct command neither, or
        several answers have not. One missed answer alone may be a lost packet, or our own delay."""
        return (
            self.unacknowledging
            or self.missed_answers > 1
            or (self.missed_answers > 0 and self.push_failures > 0)
        )

    @property
    def commands_settled(self) -> bool:
        """No earlier direct command can still be executed."""
        return self.settles_commands(self.acknowledged_token, self.incarnation)

    def settles_commands(self, token: int, incarnation: int) -> bool:
        """Whether a worker that shows these can execute no earlier direct command any more.

        It refuses those of an earlier incarnation whatever their token: without that, nothing was
        ever concluded from the heartbeats of a machine that no token reaches. Which incarnations
        the earlier owners have seen is not known, so that only a token of ours settles what they
        sent.
        """
        if token > self.highest_unsettled_token:
            return True
        unsettled = self.unsettled_incarnation
        return self.is_current_token(token) and unsettled is not None and incarnation > unsettled

    def is_current_token(self, token: int) -> bool:
        """Whether no worker can have shown the token before this owner began to act."""
        return token >= self.term << BUMP_BITS

    def is_verified_heartbeat(self, token: int) -> bool:
        """Whether a heartbeat with this token, newer than what is known, was sent since this owner
        began to act.

        Then it shows a token of ours, or is newer than one that did, or than an answer to an
        inspection. Any other one may be a copy of a heartbeat to an earlier owner.
        """
        return self.incarnation > 0 or self.is_current_token(token)

    def planned_use(self) -> Resources:
        """Resources used by the attempts that are not stopping."""
        total = self.untracked_use
        for attempt in self.attempts.values():
            if not attempt.stopping and not attempt.finishing:
                total = total.plus(attempt.job.demand)
        return total

    def live_use(self) -> Resources:
        """Resources that may really be used now: by all that was launched and not seen to end."""
        total = self.untracked_use
        for attempt in self.attempts.values():
            if not attempt.finishing and (attempt.sent or attempt.stage >= Stage.FETCHING):
                total = total.plus(attempt.job.demand)
        return total
