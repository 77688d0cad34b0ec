"""Noticing that a controller has ended, and ending its state lease so that its claims fall at once.

A request to each sibling is held open there, so that the end of its process shows as the end of the
connection; from then on it is asked every `probe_s`. Connections refused or reset some times in a
row make a suspicion, nothing else does: a process that stands still, is starved, or sits behind a
link that loses packets accepts connections, or does not answer at all, and keeps its lease for as
long as that lasts by itself.

A refusal is no proof: a filter between controllers refuses too. So there are three more witnesses.
The other sibling must see the same, or workers of that owner come here, which they do when it does
not answer them. And the suspected controller is asked through the state service: our own record
names it, and it answers by writing its own. One that is well with the state service, and cut off
from its siblings alone, answers and stays.

What is ended by mistake is the cut owner of points 5 and 6 of the safety argument (docs/design.md):
its renewals end with the lease, so that the bound it may go on answering for is counted from before
that, and the next owner counts the whole bound from after it.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

import msgspec

from badgerseam.background import BackgroundTasks
from badgerseam.cluster.membership import Membership
from badgerseam.http.client import (
    ConnectionRefusedByPeerError,
    ConnectionResetByPeerError,
    NoResponseError,
)
from badgerseam.model.model import Model
from badgerseam.options.standby import StandbyOptions
from badgerseam.standby.successors import lease_of, successors
from badgerseam.store.client import LeaseExpiredError, StateClient, StateUnavailableError
from badgerseam.wire import standby as wire

log = logging.getLogger("badgerseam.standby")

HOLD_S = 1.0
"""How long a request is held open at the sibling that it is sent to."""
LATE_S = 1.0
"""After that an answer is late, and tells of nothing but silence."""
VIEW_S = 0.3
CONFIRMATIONS_NEEDED = 2
"""Refusals in a row at the other sibling with which it agrees: it may have noticed later."""
TURN_S = 0.4
"""How long those in line leave it to the one before them, beyond the time for an answer."""
END_S = 1.0
MAX_STEP_S = 0.3
"""Between two looks; one that stood still for longer begins its doubts anew."""
REST_S, MAX_REST_S = 5.0, 60.0
"""After a sign of life of one that refuses us: a filter may stay for long, and each question costs
two changes. Doubled each time."""
MAX_BACKOFF_S = 86400.0

Ask = Callable[[str, str, bytes, float], Coroutine[None, None, bytes]]
"""Asks a sibling: its name, the path, the body, a deadline in seconds; NoResponse without one."""


@dataclass(slots=True)
class Suspicion:
    """A controller under suspicion."""

    lease: int
    opened_at: float
    mark: int
    """The stamp of its own record when it came under suspicion."""
    confirmed: bool = False
    asking: bool = False
    asked_at: float = -1e9
    summons_sent: int = 0
    """The stamp of our own record before it named the suspected one; 0: not yet."""
    shown_at: float | None = None
    """When our replica showed our record with its name, which it can have read as well by then."""
    ending: bool = False


@dataclass(slots=True)
class PeerState:
    """What is known of a sibling from asking it."""

    next_at: float = 0.0
    asking: bool = False
    refused: int = 0
    first_at: float = 0.0
    process: str = ""
    number: int = 0
    suspicion: Suspicion | None = None
    redirected_workers: set[str] = field(default_factory=set)
    """Its workers that came to us since the first refusal."""
    backoff_after_end_s: float = REST_S
    resting_until: float = -1e9
    ended: str | None = None
    """The process whose lease was ended, until another one answers."""
    ends: int = 0
    backoff_s: float = 0.0
    retry_after: float = -1e9


class FailureDetector:
    """Stands by for the siblings; `step` drives it, several times in `probe_s`."""

    def __init__(
        self,
        model: Model,
        member: Membership,
        state: StateClient,
        options: StandbyOptions,
        ask: Ask,
        steady: Callable[[], bool],
        told: Callable[[str, wire.SoftStateUpdate], None],
    ) -> None:
        """`steady`: whether our own lease is confirmed after any pause; `told`: takes what a
        sibling has told."""
        self._model = model
        self._member = member
        self._state = state
        self._options = options
        self._ask = ask
        self._steady = steady
        self._told = told
        self._clock = model.clock
        self.peers = {name: PeerState() for name in member.order if name != member.node}
        self._stepped_at = self._clock.now()
        self._answered: dict[str, int] = {}
        """Of each sibling the stamp of its record that we have answered for."""
        self._tasks = BackgroundTasks()

    # ---- driving ----

    def step(self) -> None:
        """Ask whom it is time to ask, and go on with what is suspected."""
        now = self._clock.now()
        paused = now - self._stepped_at > MAX_STEP_S
        self._stepped_at = now
        self._answer()
        for name, line in self.peers.items():
            if paused:
                # Answers may lie unread, and what was seen before it is old.
                self._clear(name, line)
            if not line.asking and now >= line.next_at:
                line.asking = True
                self._tasks.spawn(self._follow(name, line))
            self._review_suspicion(name, line, now)

    # ---- what is seen ----

    async def _follow(self, name: str, line: PeerState) -> None:
        body = wire.encode(wire.FollowRequest(self._member.node, line.process, line.number))
        try:
            told = wire.update_decoder.decode(
                await self._ask(name, "/standby/follow", body, HOLD_S + LATE_S)
            )
        except (ConnectionRefusedByPeerError, ConnectionResetByPeerError):
            now = self._clock.now()
            if line.refused == 0:
                line.first_at = now
                line.redirected_workers.clear()
            line.refused += 1
            # Of one that holds nothing there is nothing to be found out soon.
            holds = lease_of(self._model, name) is not None
            line.next_at = now + (self._options.probe_s if holds else HOLD_S / 2)
        except (NoResponseError, msgspec.DecodeError):
            # Silent, or another program: neither is a sign of an end.
            self._clear(name, line)
            line.next_at = self._clock.now() + HOLD_S
        else:
            self._clear(name, line)
            self._recognize(name, line, told.process)
            line.number = told.number
            line.next_at = self._clock.now() + (0.0 if told.holds_claims else HOLD_S)
            self._told(name, told)
        finally:
            line.asking = False
        if line.refused:
            with self._model.lock:
                self._review_suspicion(name, line, self._clock.now())

    def _clear(self, name: str, line: PeerState) -> None:
        line.refused = 0
        line.suspicion = None
        self._member.registration.suspected.discard(name)

    def _recognize(self, name: str, line: PeerState, process: str) -> None:
        """Who answers: the process of before, or one that was started anew."""
        if line.ended is not None:
            if line.ended == process:
                line.backoff_s = min(
                    max(self._options.backoff_s, 2 * line.backoff_s), MAX_BACKOFF_S
                )
                line.retry_after = self._clock.now() + line.backoff_s
                log.info(
                    "%s has not ended: its lease was ended needlessly; left alone for %.0f s",
                    name,
                    line.backoff_s,
                )
            line.ended = None
        if process != line.process:
            line.backoff_after_end_s = REST_S
        line.process = process

    def on_redirected_worker(self, owner: str, machine: str) -> None:
        """A worker of an owner has reported to us."""
        line = self.peers.get(owner)
        if line is not None and line.refused:
            line.redirected_workers.add(machine)

    def view_of(self, name: str) -> wire.PeerView:
        """How we see a sibling, for the other one."""
        line = self.peers.get(name)
        return wire.PeerView(0 if line is None else line.refused)

    # ---- being suspected ----

    def _answer(self) -> None:
        for name, held in self._model.controllers.items():
            asked = self._member.node in held.record.suspected
            if asked and self._answered.get(name) != held.version:
                self._answered[name] = held.version
                log.info("%s takes us for ended: our own record says that we are not", name)
                self._member.registration.write_again()

    # ---- suspecting ----

    def _is_suspected(self, line: PeerState, now: float) -> bool:
        options = self._options
        span_s = (options.refusals - 1) * options.probe_s
        if not line.process:
            # It has never answered: it may have no standby, and would not answer by its record.
            return False
        return line.refused >= options.refusals and now - line.first_at >= 0.9 * span_s

    def _review_suspicion(self, name: str, line: PeerState, now: float) -> None:
        case, model, member = line.suspicion, self._model, self._member
        if not self._is_suspected(line, now) or now < max(line.retry_after, line.resting_until):
            return
        lease = lease_of(model, name)
        present = model.controllers.get(name)
        mark = 0 if present is None else present.version
        if lease is None or not self._steady():
            return
        if case is None:
            line.suspicion = case = Suspicion(lease, now, mark)
        if case.lease != lease or (present is not None and case.mark != mark):
            log.info("%s refuses connections, and lives by its records", name)
            self._clear(name, line)
            line.resting_until = now + line.backoff_after_end_s
            line.backoff_after_end_s = min(2 * line.backoff_after_end_s, MAX_REST_S)
            return
        line_up = successors(model, member.order, name)
        if case.ending or member.node not in line_up:
            return
        turn_s = self._options.answer_s + TURN_S
        if now - case.opened_at < turn_s * line_up.index(member.node):
            return
        if len(line.redirected_workers) >= self._options.witnesses:
            case.confirmed = True
        if not case.confirmed:
            if not case.asking and now - case.asked_at >= self._options.probe_s:
                case.asking, case.asked_at = True, now
                self._tasks.spawn(self._ask_others(name, line, case))
            return
        self._request_sign_of_life(name, case, now)
        if case.shown_at is not None and now - case.shown_at >= self._options.answer_s:
            case.ending = True
            self._tasks.spawn(self._revoke_lease(name, line, case))

    async def _ask_others(self, name: str, line: PeerState, case: Suspicion) -> None:
        body = wire.encode(wire.PeerViewRequest(name))
        try:
            for other in self.peers:
                if other == name:
                    continue
                try:
                    reply = await self._ask(other, "/standby/view", body, VIEW_S)
                    seen = wire.peer_view_decoder.decode(reply)
                except (NoResponseError, msgspec.DecodeError):
                    continue
                if seen.refused >= CONFIRMATIONS_NEEDED:
                    case.confirmed = True
                    return
        finally:
            case.asking = False
            if line.suspicion is case and case.confirmed:
                with self._model.lock:
                    self._review_suspicion(name, line, self._clock.now())

    def _request_sign_of_life(self, name: str, case: Suspicion, now: float) -> None:
        """Ask it through the state service."""
        own = self._model.controllers.get(self._member.node)
        if own is None:
            return
        if case.summons_sent == 0:
            case.summons_sent = own.version
            self._member.registration.suspected.add(name)
            self._member.registration.write_again()
        elif case.shown_at is None and own.version > case.summons_sent:
            if name in own.record.suspected:
                case.shown_at = now
            else:
                # Written by the way, before it was to name it.
                case.summons_sent = own.version
                self._member.registration.write_again()

    async def _revoke_lease(self, name: str, line: PeerState, case: Suspicion) -> None:
        took_s = self._clock.now() - line.first_at
        try:
            await self._state.revoke(case.lease, END_S)
        except LeaseExpiredError:
            log.debug("%s: its lease had ended", name)
            return
        except StateUnavailableError as error:
            log.debug("%s: its lease is not ended: %s", name, error)
            case.ending = False
            return
        line.ended = line.process
        line.ends += 1
        witnesses = (
            f"{len(line.redirected_workers)} workers came"
            if line.redirected_workers
            else "a sibling agrees"
        )
        log.info(
            "%s has ended: %d connections refused in %.2f s, %s; its lease %d is ended",
            name,
            line.refused,
            took_s,
            witnesses,
            case.lease,
        )
