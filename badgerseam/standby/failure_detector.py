"""Detects that a controller has ended, and revokes its lease so that its claims end at once.

A request to each peer is held open there, so that the end of its process shows as the end of the
connection; from then on it is probed every `probe_s`. Connections refused or reset some times in a
row make a suspicion, nothing else does: a process that is suspended, is starved, or sits behind a
link that loses packets accepts connections, or does not answer at all, and keeps its lease for as
long as that lasts by itself.

A refusal is no proof: a filter between controllers refuses too. So there are three more witnesses.
The other peer must see the same, or workers of that owner come here, which they do when it does
not answer them. And the suspected controller is asked through the state service: our own record
names it, and it answers by writing its own. One that is well with the state service, and cut off
from its peers alone, answers and stays.

A controller whose lease is revoked by mistake is the cut owner of points 5 and 6 of the safety
argument (docs/design.md): its renewals end with the lease, so that the bound it may go on answering
for is counted from before that, and the next owner counts the whole bound from after it.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Coroutine

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
from badgerseam.standby.peer_state import MAX_REST_S, MIN_REST_S, PeerState, Suspicion
from badgerseam.standby.successors import lease_of, successors
from badgerseam.store.client import LeaseExpiredError, StateClient, StateUnavailableError
from badgerseam.wire import standby as wire

log = logging.getLogger("badgerseam.standby")

HOLD_S = 1.0
"""How long a request is held open at the peer that it is sent to."""
RESPONSE_GRACE_S = 1.0
"""How much later a response may come; after that it tells of nothing but silence."""
VIEW_DEADLINE_S = 0.3
"""What another peer gets to say how it sees the suspected one."""
CONFIRMATIONS_NEEDED = 2
"""Refusals in a row at the other peer with which it agrees: it may have noticed later."""
TURN_S = 0.4
"""How long those in line leave it to the one before them, beyond the time for an answer."""
REVOKE_DEADLINE_S = 1.0
MAX_STEP_S = 0.3
"""Between two steps; after a longer pause of ours all suspicions are dropped."""
MIN_REFUSAL_SPAN_FRACTION = 0.9
"""Of the time that the refusals needed for a suspicion take by their probes."""
MAX_BACKOFF_S = 86400.0

Ask = Callable[[str, str, bytes, float], Coroutine[None, None, bytes]]
"""Sends a peer a request: its name, the path, the body, a deadline in seconds; NoResponseError
without a response."""


class FailureDetector:
    """Watches the peers; `step` drives it, several times in `probe_s`."""

    def __init__(
        self,
        model: Model,
        member: Membership,
        state: StateClient,
        options: StandbyOptions,
        ask: Ask,
        lease_confirmed_since_pause: Callable[[], bool],
        on_update: Callable[[str, wire.SoftStateUpdate], None],
    ) -> None:
        """`lease_confirmed_since_pause`: whether our own lease is confirmed after any pause;
        `on_update`: takes the soft state that a peer has sent, with the peer's name."""
        self._model = model
        self._member = member
        self._state = state
        self._options = options
        self._ask = ask
        self._lease_confirmed_since_pause = lease_confirmed_since_pause
        self._on_update = on_update
        self._clock = model.clock
        self.peers = {name: PeerState() for name in member.order if name != member.node}
        self._stepped_at = self._clock.now()
        self._answered: dict[str, int] = {}
        """Of each peer the version of its record that we have answered."""
        self._tasks = BackgroundTasks()

    def step(self) -> None:
        """Probe the peers that are due, and go on with what is suspected."""
        now = self._clock.now()
        has_paused = now - self._stepped_at > MAX_STEP_S
        self._stepped_at = now
        self._give_signs_of_life()
        for name, peer in self.peers.items():
            if has_paused:
                # Answers may lie unread, and what was seen before the pause is old.
                self._clear_suspicion(name, peer)
            if not peer.is_probing and now >= peer.next_probe_at:
                peer.is_probing = True
                self._tasks.spawn(self._probe(name, peer))
            self._review_suspicion(name, peer, now)

    def on_redirected_worker(self, owner: str, machine: str) -> None:
        """A worker of an owner has sent its heartbeat to us."""
        peer = self.peers.get(owner)
        if peer is not None and peer.refusals:
            peer.redirected_workers.add(machine)

    def view_of(self, name: str) -> wire.PeerView:
        """How we see a peer, for the other one."""
        peer = self.peers.get(name)
        return wire.PeerView(0 if peer is None else peer.refusals)

    # ---- probing ----

    async def _probe(self, name: str, peer: PeerState) -> None:
        body = wire.encode(wire.FollowRequest(self._member.node, peer.process, peer.number))
        try:
            update = wire.update_decoder.decode(
                await self._ask(name, "/standby/follow", body, HOLD_S + RESPONSE_GRACE_S)
            )
        except (ConnectionRefusedByPeerError, ConnectionResetByPeerError):
            self._on_refusal(name, peer)
        except (NoResponseError, msgspec.DecodeError):
            # Silent, or another program: neither is a sign of an end.
            self._clear_suspicion(name, peer)
            peer.next_probe_at = self._clock.now() + HOLD_S
        else:
            self._on_response(name, peer, update)
        finally:
            peer.is_probing = False
        if peer.refusals:
            with self._model.lock:
                self._review_suspicion(name, peer, self._clock.now())

    def _on_refusal(self, name: str, peer: PeerState) -> None:
        now = self._clock.now()
        if peer.refusals == 0:
            peer.first_refused_at = now
            peer.redirected_workers.clear()
        peer.refusals += 1
        # Of one without claims there is nothing to be found out soon.
        has_claims = lease_of(self._model, name) is not None
        peer.next_probe_at = now + (self._options.probe_s if has_claims else HOLD_S / 2)

    def _on_response(self, name: str, peer: PeerState, update: wire.SoftStateUpdate) -> None:
        self._clear_suspicion(name, peer)
        self._recognize_process(name, peer, update.process)
        peer.number = update.number
        peer.next_probe_at = self._clock.now() + (0.0 if update.holds_claims else HOLD_S)
        self._on_update(name, update)

    def _recognize_process(self, name: str, peer: PeerState, process: str) -> None:
        """Note which process responds: the one of before, or one that was started anew."""
        if peer.revoked_process is not None:
            if peer.revoked_process == process:
                self._back_off(name, peer)
            peer.revoked_process = None
        if process != peer.process:
            peer.next_rest_s = MIN_REST_S
        peer.process = process

    def _back_off(self, name: str, peer: PeerState) -> None:
        """Leave alone for a while a peer whose lease was revoked although it had not ended."""
        backoff_s = max(self._options.backoff_s, 2 * peer.backoff_s)
        peer.backoff_s = min(backoff_s, MAX_BACKOFF_S)
        peer.retry_after = self._clock.now() + peer.backoff_s
        log.info("lease revocation was needless controller=%s backoff_s=%.0f", name, peer.backoff_s)

    # ---- being suspected ----

    def _give_signs_of_life(self) -> None:
        """Answer peers whose records name us, by writing our own once more."""
        for name, seen in self._model.controllers.items():
            is_asked = self._member.node in seen.record.suspected
            if is_asked and self._answered.get(name) != seen.version:
                self._answered[name] = seen.version
                log.info("sign of life requested controller=%s", name)
                self._member.registration.write_again()

    # ---- suspecting ----

    def _review_suspicion(self, name: str, peer: PeerState, now: float) -> None:
        """Take the next step from a suspicion to the end of the peer's lease."""
        if not self._is_suspected(peer, now) or now < max(peer.retry_after, peer.rests_until):
            return
        lease = lease_of(self._model, name)
        if lease is None or not self._lease_confirmed_since_pause():
            return
        if peer.suspicion is None:
            peer.suspicion = Suspicion(lease, now, self._record_version(name))
        suspicion = peer.suspicion
        if self._has_shown_life(name, suspicion, lease):
            self._drop_suspicion(name, peer, now)
            return
        if suspicion.is_revoking or not self._is_our_turn(name, suspicion, now):
            return
        if not self._is_confirmed(name, peer, suspicion, now):
            return
        self._request_sign_of_life(name, suspicion, now)
        if suspicion.shown_at is not None and now - suspicion.shown_at >= self._options.answer_s:
            suspicion.is_revoking = True
            self._tasks.spawn(self._revoke_lease(name, peer, suspicion))

    def _is_suspected(self, peer: PeerState, now: float) -> bool:
        options = self._options
        span_s = (options.refusals - 1) * options.probe_s
        if not peer.process:
            # It has never answered: it may have no standby, and would not answer by its record.
            return False
        return (
            peer.refusals >= options.refusals
            and now - peer.first_refused_at >= MIN_REFUSAL_SPAN_FRACTION * span_s
        )

    def _record_version(self, name: str) -> int:
        seen = self._model.controllers.get(name)
        return 0 if seen is None else seen.version

    def _has_shown_life(self, name: str, suspicion: Suspicion, lease: int) -> bool:
        """Whether the peer has claims on another lease, or has written its record again."""
        if suspicion.lease != lease:
            return True
        version = self._record_version(name)
        return version != 0 and version != suspicion.record_version

    def _drop_suspicion(self, name: str, peer: PeerState, now: float) -> None:
        log.info("suspicion dropped after a sign of life controller=%s", name)
        self._clear_suspicion(name, peer)
        peer.rests_until = now + peer.next_rest_s
        peer.next_rest_s = min(2 * peer.next_rest_s, MAX_REST_S)

    def _clear_suspicion(self, name: str, peer: PeerState) -> None:
        peer.refusals = 0
        peer.suspicion = None
        self._member.registration.suspected.discard(name)

    def _is_our_turn(self, name: str, suspicion: Suspicion, now: float) -> bool:
        """Whether those before us in line have had their time to act."""
        in_line = successors(self._model, self._member.order, name)
        if self._member.node not in in_line:
            return False
        turn_s = self._options.answer_s + TURN_S
        return now - suspicion.opened_at >= turn_s * in_line.index(self._member.node)

    def _is_confirmed(self, name: str, peer: PeerState, suspicion: Suspicion, now: float) -> bool:
        """Whether workers or another peer confirm the suspicion; asks the others if not."""
        if len(peer.redirected_workers) >= self._options.witnesses:
            suspicion.is_confirmed = True
        if suspicion.is_confirmed:
            return True
        if not suspicion.is_asking and now - suspicion.asked_at >= self._options.probe_s:
            suspicion.is_asking, suspicion.asked_at = True, now
            self._tasks.spawn(self._ask_others(name, peer, suspicion))
        return False

    async def _ask_others(self, name: str, peer: PeerState, suspicion: Suspicion) -> None:
        try:
            for other in self.peers:
                if other != name and await self._sees_refusals(other, name):
                    suspicion.is_confirmed = True
                    return
        finally:
            suspicion.is_asking = False
            if peer.suspicion is suspicion and suspicion.is_confirmed:
                with self._model.lock:
                    self._review_suspicion(name, peer, self._clock.now())

    async def _sees_refusals(self, other: str, name: str) -> bool:
        """Whether the suspected peer refuses another one as well; False without a response."""
        body = wire.encode(wire.PeerViewRequest(name))
        try:
            response = await self._ask(other, "/standby/view", body, VIEW_DEADLINE_S)
            view = wire.peer_view_decoder.decode(response)
        except (NoResponseError, msgspec.DecodeError):
            return False
        return view.refused >= CONFIRMATIONS_NEEDED

    def _request_sign_of_life(self, name: str, suspicion: Suspicion, now: float) -> None:
        """Ask the peer through the state service: our own record names it."""
        own = self._model.controllers.get(self._member.node)
        if own is None:
            return
        if suspicion.request_version == 0:
            suspicion.request_version = own.version
            self._member.registration.suspected.add(name)
            self._member.registration.write_again()
        elif suspicion.shown_at is None and own.version > suspicion.request_version:
            if name in own.record.suspected:
                suspicion.shown_at = now
            else:
                # Written for another reason, before it was to name the peer.
                suspicion.request_version = own.version
                self._member.registration.write_again()

    async def _revoke_lease(self, name: str, peer: PeerState, suspicion: Suspicion) -> None:
        duration_s = self._clock.now() - peer.first_refused_at
        try:
            await self._state.revoke(suspicion.lease, REVOKE_DEADLINE_S)
        except LeaseExpiredError:
            log.debug("lease had expired controller=%s lease=%d", name, suspicion.lease)
            return
        except StateUnavailableError as error:
            log.debug(
                "lease not revoked controller=%s lease=%d error=%s", name, suspicion.lease, error
            )
            suspicion.is_revoking = False
            return
        peer.revoked_process = peer.process
        peer.revocations += 1
        log.info(
            "lease revoked controller=%s lease=%d refusals=%d duration_s=%.2f workers=%d",
            name,
            suspicion.lease,
            peer.refusals,
            duration_s,
            len(peer.redirected_workers),
        )
