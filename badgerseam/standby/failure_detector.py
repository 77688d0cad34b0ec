"""Detects that a controller has ended, and revokes its lease so that its claims end at once.

Each peer holds a request from this controller open, so that the end of its process closes the
connection; from then on the peer is probed every `probe_s`. A suspicion is raised only by several
connections in a row that are refused or reset. A process that is suspended, starved of CPU, or
behind a link that loses packets accepts connections or does not respond at all; its lease is left
to expire by itself.

A refused connection is no proof that the process has ended, since a packet filter between
controllers refuses connections as well. So a suspicion needs confirmation from another source:
either the other peer is refused too, or workers of the suspected owner send their heartbeats here,
which they do when it does not answer them. In addition the suspected controller gets a liveness
request through the state service: this controller's record names it, and it responds by writing its
own record. A controller that reaches the state service and is only cut off from its peers responds,
and keeps its lease.

A controller whose lease is revoked by mistake is the cut owner of points 5 and 6 of the safety
argument (docs/design.md). Its renewals end with the lease, so the partition bound within which it
may still answer its workers is counted from before the revocation, while the next owner counts the
whole bound from after it.
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
from badgerseam.standby.peer_state import MAX_COOLDOWN_S, MIN_COOLDOWN_S, PeerState, Suspicion
from badgerseam.standby.successors import lease_of, successors
from badgerseam.store.client import LeaseExpiredError, StateClient, StateUnavailableError
from badgerseam.wire import standby as wire

log = logging.getLogger("badgerseam.standby")

HOLD_S = 1.0
"""Seconds for which the peer holds a request open."""
RESPONSE_GRACE_S = 1.0
"""Seconds by which the response may exceed HOLD_S before the probe times out, which raises no
suspicion."""
VIEW_DEADLINE_S = 0.3
"""Deadline, in seconds, for another peer to report its view of the suspected one."""
CONFIRMATIONS_NEEDED = 2
"""Refusals in a row that the other peer must have seen to confirm a suspicion; few, since it may
have started to see them later."""
SUCCESSOR_STAGGER_S = 0.4
"""Seconds, in addition to the time for a response, for which each successor waits for the one
before it to act."""
REVOKE_DEADLINE_S = 1.0
MAX_STEP_S = 0.3
"""Maximum seconds between two steps; after a longer pause of this process all suspicions are
dropped."""
MIN_REFUSAL_SPAN_FRACTION = 0.9
"""The refusals that a suspicion needs must span at least this fraction of the time that their
probes take."""
MAX_BACKOFF_S = 86400.0

Ask = Callable[[str, str, bytes, float], Coroutine[None, None, bytes]]
"""Sends a request to a peer, with its name, the path, the body and a deadline in seconds; raises
NoResponseError if there is no response."""


class FailureDetector:
    """Probes the peers and revokes leases; driven by calls of `step`, several in each `probe_s`."""

    def __init__(
        self,
        model: Model,
        membership: Membership,
        state: StateClient,
        options: StandbyOptions,
        ask: Ask,
        lease_confirmed_since_pause: Callable[[], bool],
        on_update: Callable[[str, wire.SoftStateUpdate], None],
    ) -> None:
        """`lease_confirmed_since_pause`: whether this controller's lease was confirmed after its
        latest pause; `on_update`: receives each soft state update with the name of the peer that
        sent it."""
        self._model = model
        self._membership = membership
        self._state = state
        self._options = options
        self._ask = ask
        self._lease_confirmed_since_pause = lease_confirmed_since_pause
        self._on_update = on_update
        self._clock = model.clock
        self.peers = {
            name: PeerState() for name in membership.controller_names if name != membership.node
        }
        self._stepped_at = self._clock.now()
        self._answered_versions: dict[str, int] = {}
        """For each peer, the version of its record whose liveness request was answered."""
        self._tasks = BackgroundTasks()

    def step(self) -> None:
        """Probes the peers that are due, and advances the suspicions."""
        now = self._clock.now()
        has_paused = now - self._stepped_at > MAX_STEP_S
        self._stepped_at = now
        self._answer_liveness_requests()
        for name, peer in self.peers.items():
            if has_paused:
                # Responses may be waiting unread, and what was seen before the pause is outdated.
                self._clear_suspicion(name, peer)
            if not peer.is_probing and now >= peer.next_probe_at:
                peer.is_probing = True
                self._tasks.spawn(self._probe(name, peer))
            self._review_suspicion(name, peer, now)

    def on_redirected_worker(self, owner: str, machine: str) -> None:
        """Records that a worker of another owner has sent its heartbeat to this controller."""
        peer = self.peers.get(owner)
        if peer is not None and peer.refusals:
            peer.redirected_workers.add(machine)

    def view_of_peer(self, name: str) -> wire.PeerView:
        """Returns this controller's view of a peer, for another peer that suspects it."""
        peer = self.peers.get(name)
        return wire.PeerView(0 if peer is None else peer.refusals)

    # ---- probing ----

    async def _probe(self, name: str, peer: PeerState) -> None:
        body = wire.encode(
            wire.FollowRequest(self._membership.node, peer.process, peer.update_number)
        )
        try:
            update = wire.update_decoder.decode(
                await self._ask(name, "/standby/follow", body, HOLD_S + RESPONSE_GRACE_S)
            )
        except (ConnectionRefusedByPeerError, ConnectionResetByPeerError):
            self._on_refusal(name, peer)
        except (NoResponseError, msgspec.DecodeError):
            # The peer did not respond in time, or it runs another program version: neither
            # indicates that its process has ended.
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
        # A peer without claims is probed less often, since nothing has to be taken over from it.
        has_claims = lease_of(self._model, name) is not None
        peer.next_probe_at = now + (self._options.probe_s if has_claims else HOLD_S / 2)

    def _on_response(self, name: str, peer: PeerState, update: wire.SoftStateUpdate) -> None:
        self._clear_suspicion(name, peer)
        self._recognize_process(name, peer, update.process)
        peer.update_number = update.number
        peer.next_probe_at = self._clock.now() + (0.0 if update.is_held_open else HOLD_S)
        self._on_update(name, update)

    def _recognize_process(self, name: str, peer: PeerState, process: str) -> None:
        """Records which process responded: the same as before, or a new one."""
        if peer.revoked_process is not None:
            if peer.revoked_process == process:
                self._back_off(name, peer)
            peer.revoked_process = None
        if process != peer.process:
            peer.next_cooldown_s = MIN_COOLDOWN_S
        peer.process = process

    def _back_off(self, name: str, peer: PeerState) -> None:
        """Stops suspecting a peer for a while, because its lease was revoked although its process
        had not ended."""
        backoff_s = max(self._options.backoff_s, 2 * peer.backoff_s)
        peer.backoff_s = min(backoff_s, MAX_BACKOFF_S)
        peer.retry_after = self._clock.now() + peer.backoff_s
        log.info("lease revocation was needless controller=%s backoff_s=%.0f", name, peer.backoff_s)

    # ---- being suspected by peers ----

    def _answer_liveness_requests(self) -> None:
        """Responds to peers whose records name this controller, by writing its own record again."""
        for name, seen in self._model.controllers.items():
            is_asked = self._membership.node in seen.record.suspected
            if is_asked and self._answered_versions.get(name) != seen.version:
                self._answered_versions[name] = seen.version
                log.info("liveness request received controller=%s", name)
                self._membership.registration.write_again()

    # ---- suspecting peers ----

    def _review_suspicion(self, name: str, peer: PeerState, now: float) -> None:
        """Takes the next step from a suspicion towards the revocation of the peer's lease."""
        if not self._is_suspected(peer, now) or now < max(peer.retry_after, peer.cooldown_until):
            return
        lease = lease_of(self._model, name)
        if lease is None or not self._lease_confirmed_since_pause():
            return
        if peer.suspicion is None:
            peer.suspicion = Suspicion(lease, now, self._record_version(name))
        suspicion = peer.suspicion
        if self._has_proved_running(name, suspicion, lease):
            self._drop_suspicion(name, peer, now)
            return
        if suspicion.is_revoking or not self._is_own_turn(name, suspicion, now):
            return
        if not self._is_confirmed(name, peer, suspicion, now):
            return
        self._request_liveness(name, suspicion, now)
        if (
            suspicion.request_shown_at is not None
            and now - suspicion.request_shown_at >= self._options.answer_s
        ):
            suspicion.is_revoking = True
            self._tasks.spawn(self._revoke_lease(name, peer, suspicion))

    def _is_suspected(self, peer: PeerState, now: float) -> bool:
        options = self._options
        span_s = (options.refusals - 1) * options.probe_s
        if not peer.process:
            # The peer has never responded: its standby may be disabled, in which case it would not
            # respond to a liveness request either.
            return False
        return (
            peer.refusals >= options.refusals
            and now - peer.first_refused_at >= MIN_REFUSAL_SPAN_FRACTION * span_s
        )

    def _record_version(self, name: str) -> int:
        seen = self._model.controllers.get(name)
        return 0 if seen is None else seen.version

    def _has_proved_running(self, name: str, suspicion: Suspicion, lease: int) -> bool:
        """Whether the peer has proved that it is running: it has claims on another lease, or has
        written its record again."""
        if suspicion.lease != lease:
            return True
        version = self._record_version(name)
        return version != 0 and version != suspicion.record_version

    def _drop_suspicion(self, name: str, peer: PeerState, now: float) -> None:
        log.info("suspicion dropped after a liveness response controller=%s", name)
        self._clear_suspicion(name, peer)
        peer.cooldown_until = now + peer.next_cooldown_s
        peer.next_cooldown_s = min(2 * peer.next_cooldown_s, MAX_COOLDOWN_S)

    def _clear_suspicion(self, name: str, peer: PeerState) -> None:
        peer.refusals = 0
        peer.suspicion = None
        self._membership.registration.suspected.discard(name)

    def _is_own_turn(self, name: str, suspicion: Suspicion, now: float) -> bool:
        """Whether the successors ranked before this controller have had their time to act."""
        ranked = successors(self._model, self._membership.controller_names, name)
        if self._membership.node not in ranked:
            return False
        turn_s = self._options.answer_s + SUCCESSOR_STAGGER_S
        return now - suspicion.suspected_at >= turn_s * ranked.index(self._membership.node)

    def _is_confirmed(self, name: str, peer: PeerState, suspicion: Suspicion, now: float) -> bool:
        """Whether workers or another peer have confirmed the suspicion; if not, asks the other
        peers."""
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
                if other != name and await self._peer_confirms(other, name):
                    suspicion.is_confirmed = True
                    return
        finally:
            suspicion.is_asking = False
            if peer.suspicion is suspicion and suspicion.is_confirmed:
                with self._model.lock:
                    self._review_suspicion(name, peer, self._clock.now())

    async def _peer_confirms(self, other: str, name: str) -> bool:
        """Whether another peer is refused by the suspected one as well; False without a
        response."""
        body = wire.encode(wire.PeerViewRequest(name))
        try:
            response = await self._ask(other, "/standby/view", body, VIEW_DEADLINE_S)
            view = wire.peer_view_decoder.decode(response)
        except (NoResponseError, msgspec.DecodeError):
            return False
        return view.refused >= CONFIRMATIONS_NEEDED

    def _request_liveness(self, name: str, suspicion: Suspicion, now: float) -> None:
        """Asks the peer through the state service whether it is running, by naming it in this
        controller's record."""
        own = self._model.controllers.get(self._membership.node)
        if own is None:
            return
        if suspicion.request_version == 0:
            suspicion.request_version = own.version
            self._membership.registration.suspected.add(name)
            self._membership.registration.write_again()
        elif suspicion.request_shown_at is None and own.version > suspicion.request_version:
            if name in own.record.suspected:
                suspicion.request_shown_at = now
            else:
                # The record was written for another reason, before it was to name the peer.
                suspicion.request_version = own.version
                self._membership.registration.write_again()

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
