"""State that a controller keeps for each machine."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from badgerseam.model.job import Attempt, Job, Stage
from badgerseam.model.resources import NOTHING, Resources
from badgerseam.sched.snapshot import MachineSnapshot
from badgerseam.wire.workers import TaskStatus

BUMP_BITS = 24
"""Number of low bits of a fencing token that count how often it was raised within a term."""
MAX_TOKEN_BUMP = (1 << BUMP_BITS) - 1
"""Maximum number of raises within a term: one more would give the token of a later term."""
MAX_DIRECT_TOKEN_BUMP = MAX_TOKEN_BUMP - (1 << 16)
"""Number of raises from which nothing is sent directly any more; the rest is for lost answers."""


def lowest_token(term: int) -> int:
    """Returns the lowest fencing token of a term."""
    return term << BUMP_BITS


@dataclass(slots=True, eq=False)
class Machine:
    """A machine with a record in the state service."""

    name: str
    index: int
    shard: int
    group: str
    """The group of machines whose records are stored under one key."""
    version: int
    """Version of the group's record when the machine joined its shard, or a later version."""
    type: str
    zone: str
    spot: bool
    address: str
    rented_at: float
    """Time of day at which the machine was rented."""
    total: Resources
    dropped: bool = False
    """Whether the machine's record marks it for release."""
    listed_running: bool = False
    """Whether the cloud's list of machines has shown this one running."""
    attempts: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    """Attempts that are or may be on the machine, by job index and task number."""
    images: set[str] = field(default_factory=set)
    evictions: deque[float] = field(default_factory=deque)
    """Times of the recent evictions from the machine."""
    cached_snapshot: MachineSnapshot | None = None
    """Cached snapshot for the scheduler; None if the machine has changed since it was built."""

    # State that only the owner of the shard has; `reset_owner_state` resets it.
    term: int = 0
    token_bump: int = 0
    """How often the fencing token was raised within the term."""
    incarnation: int = 0
    """Incarnation of the worker in the newest message applied; 0 before the first one."""
    sequence: int = 0
    acknowledged_token: int = 0
    """Highest fencing token that the worker has reported."""
    highest_launch_token: int = -1
    """Highest token of any launch sent on `/do`; -1 if there was none."""
    launch_incarnation: int = 0
    """Latest incarnation to which a launch was sent on `/do`."""
    highest_unsettled_token: int = -1
    """Highest token of any command that may still be in flight on `/do`."""
    unsettled_incarnation: int | None = None
    """Latest incarnation to which a command was sent that may still be in flight on `/do`; None if
    it is not known for every such command."""
    answered_heartbeat: tuple[int, int] = (0, 0)
    """Incarnation and sequence number of the newest heartbeat that was answered. These may differ
    from `incarnation` and `sequence`, which may come from the answer to an inspection or a direct
    command."""
    first_unverified_at: float | None = None
    """When the first unverified heartbeat arrived, which may be a delayed copy of an older one."""
    last_heartbeat_at: float = -1e9
    """When the latest heartbeat arrived."""
    owned_since: float = -1e9
    """When this controller began to act as the machine's owner."""
    lease_renewed_at: float = -1e9
    """Latest time at which the worker's lease may have been renewed, as far as this owner knows."""
    reclaim_at: float | None = None
    """When the cloud will reclaim the spot instance; None if no notice was received."""
    reported_tasks: dict[str, TaskStatus] = field(default_factory=dict)
    untracked_use: Resources = NOTHING
    """Resources of attempts that the worker's heartbeats list but no record contains."""
    untracked_use_by_team: dict[int, Resources] = field(default_factory=dict)
    """The untracked use by team."""
    command_in_flight: bool = False
    """Whether a direct command is in flight."""
    contacted: bool = False
    """Whether the token was sent directly since the shard or the machine changed its owner."""
    next_push_at: float = 0.0
    push_failures: int = 0
    """Consecutive failures to send commands directly."""
    failed_jobs: set[Job] = field(default_factory=set)
    """Jobs that failed on this machine and have not completed a task on it since."""
    draining: bool = False
    idle_since: float = 0.0
    releasing: bool = False
    """Whether the machine's record is being rewritten to release the machine."""
    evacuate_to: int | None = None
    """The shard to which the machine moves as soon as its tasks have been stopped."""
    transferring: bool = False
    """Whether the machine's record is being rewritten to move it to another shard or to release
    it."""
    probing: bool = False
    given_up: bool = False
    """Whether the machine is unresponsive and is to be released, which guarantees that its tasks
    have ended."""
    incarnation_without_heartbeats: int = 0
    """Incarnation in which the worker answered probes while no heartbeats arrived; 0 if heartbeats
    arrive."""
    lost: bool = False
    """Whether the worker's lease has certainly expired; its heartbeats are no longer answered."""
    response_open: bool = False
    """Whether a heartbeat response with launches may still be in flight to the worker."""
    last_answer_token: int = 0
    """Token in the latest answer to a heartbeat, if nothing else has sent the worker a token that
    high; else 0. The worker's next heartbeat shows this token if the answer was received."""
    last_answer_at: float = -1e9
    """When the latest answer to a heartbeat was sent."""
    highest_direct_token: int = 0
    """Highest token of all direct commands, answered or not."""
    missed_answers: int = 0
    """Number of answers that certainly or very likely did not reach the worker, since the last one
    that did."""
    missed_since: float = 0.0
    """When the first of the missed answers was sent."""
    missed_when_probed: int = 0
    """Value of `missed_answers` when the machine was last probed."""
    unacknowledging: bool = False
    """Whether heartbeats arrive but answers do not reach the worker: its heartbeats are no longer
    answered, and the machine is to be released."""

    def take_over(self, term: int, now: float, safe_at: float) -> None:
        """Starts to act as the owner under a term; the worker's state is not known yet.

        All commands of earlier owners carry a lower term and may be in flight until the worker has
        reported this term. `safe_at`: until this time an earlier owner may renew the lease.
        """
        self.term = max(term, self.version)
        self.token_bump = 0
        self.reset_owner_state()
        self.highest_unsettled_token = lowest_token(self.term) - 1
        self.unsettled_incarnation = None
        self.owned_since = now
        self.lease_renewed_at = safe_at

    def reset_owner_state(self) -> None:
        """Resets all state that only the owner has."""
        self.incarnation = 0
        self.sequence = 0
        self.acknowledged_token = 0
        self.highest_launch_token = -1
        self.launch_incarnation = 0
        self.last_heartbeat_at = -1e9
        self.reclaim_at = None
        self.reported_tasks = {}
        self.untracked_use = NOTHING
        self.untracked_use_by_team = {}
        self.cached_snapshot = None
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
        """The fencing token of the owner's commands: the term, and how often the token was
        raised."""
        return lowest_token(self.term) + self.token_bump

    @property
    def accepts_direct_commands(self) -> bool:
        """Whether the token can still be raised as often as direct commands may require.

        Otherwise all commands wait for the next response to a heartbeat, until the next term.
        """
        return self.token_bump < MAX_DIRECT_TOKEN_BUMP

    def raise_token(self) -> None:
        """Raises the fencing token within the term, so that a worker that has seen it refuses all
        commands sent before."""
        self.token_bump = min(self.token_bump + 1, MAX_TOKEN_BUMP)

    def record_direct_launch(self) -> None:
        """Records that a launch is sent on `/do` with the present token.

        A copy of it may arrive at any later time, even if it was answered, and is executed as long
        as its token and incarnation are valid.
        """
        self.highest_launch_token = self.fencing_token
        self.launch_incarnation = self.incarnation

    def may_repeat_launches(self, token: int, incarnation: int) -> bool:
        """Whether a worker that reports these would execute a copy of an earlier direct launch."""
        return incarnation <= self.launch_incarnation and token <= self.highest_launch_token

    def fence_launches(self) -> None:
        """Raises the token if a worker that has seen it would execute a copy of an earlier direct
        launch."""
        if self.may_repeat_launches(self.fencing_token, self.incarnation):
            self.raise_token()

    @property
    def heartbeat_position(self) -> tuple[int, int]:
        """Incarnation and sequence number of the newest message applied."""
        return self.incarnation, self.sequence

    def attempt_of(self, job: Job, task: int, number: int) -> Attempt | None:
        """Returns the attempt of a task on this machine, if it has this number; None otherwise."""
        attempt = self.attempts.get((job.index, task))
        return attempt if attempt is not None and attempt.number == number else None

    @property
    def awaits_acknowledgement(self) -> bool:
        """Whether an inspection or the token has to be resent until the worker answers."""
        return (
            self.incarnation == 0
            or self.push_failures > 0
            or self.acknowledged_token < self.fencing_token
        )

    @property
    def is_probably_unreachable(self) -> bool:
        """Whether commands would probably not reach the worker.

        That is the case if several answers did not reach it, or one answer and a direct command did
        not. A single missed answer may be a lost packet, or a delay in this controller.
        """
        return (
            self.unacknowledging
            or self.missed_answers > 1
            or (self.missed_answers > 0 and self.push_failures > 0)
        )

    @property
    def commands_settled(self) -> bool:
        """Whether no earlier direct command can still be executed."""
        return self.settles_commands(self.acknowledged_token, self.incarnation)

    def settles_commands(self, token: int, incarnation: int) -> bool:
        """Whether a worker that reports these can no longer execute any earlier direct command.

        A worker refuses commands to an earlier incarnation regardless of their token. Without this
        rule, no conclusion could ever be drawn from the heartbeats of a machine that no new token
        reaches. The incarnations that earlier owners have seen are not known, so their commands are
        only settled by a token of the current owner.
        """
        if token > self.highest_unsettled_token:
            return True
        unsettled = self.unsettled_incarnation
        return self.is_current_token(token) and unsettled is not None and incarnation > unsettled

    def is_current_token(self, token: int) -> bool:
        """Whether a token was issued by the current owner, under its present term."""
        return token >= lowest_token(self.term)

    def is_verified_heartbeat(self, token: int) -> bool:
        """Whether a heartbeat that is newer than the known state was sent after this owner began to
        act.

        That is certain if it reports a token of this owner, or if it is newer than a heartbeat that
        did or than the answer to an inspection. Any other heartbeat may be a delayed copy of one
        that was sent to an earlier owner.
        """
        return self.incarnation > 0 or self.is_current_token(token)

    def planned_use(self) -> Resources:
        """Returns the resources of attempts that are not stopping, and of untracked ones."""
        total = self.untracked_use
        for attempt in self.attempts.values():
            if not attempt.stopping and not attempt.finishing:
                total = total.plus(attempt.job.demand)
        return total

    def live_use(self) -> Resources:
        """Returns the resources that may be in use now: by attempts that were launched and not seen
        to end, and by untracked ones."""
        total = self.untracked_use
        for attempt in self.attempts.values():
            if not attempt.finishing and (attempt.sent or attempt.stage >= Stage.FETCHING):
                total = total.plus(attempt.job.demand)
        return total
