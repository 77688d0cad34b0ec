"""Workers: their reports, the commands they get, and the fencing of commands in flight."""

from __future__ import annotations

import logging
from collections.abc import Callable, Coroutine

import msgspec

from badgerseam.background import BackgroundTasks
from badgerseam.cluster.heartbeat_proxy import Deputies
from badgerseam.cluster.membership import Member
from badgerseam.cluster.partition import Word
from badgerseam.http.client import Client, NoResponse, NotSent
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.job import Attempt, Phase, Stage
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.settings import Tunables
from badgerseam.wire import workers as wire
from badgerseam.workers.command_acks import Obedience, taken_back
from badgerseam.workers.heartbeat_reception import Hearing
from badgerseam.workers.heartbeats import Reports
from badgerseam.workers.inspection import inspect
from badgerseam.workers.lease_expiry import Silence

log = logging.getLogger("badgerseam.workers")

DIRECT_S = 2.0
INSPECT_S = 1.0
RETRY_S = 1.0
MOST_COMMANDS = 300
"""Commands in one response; some 90 bytes each, well within a line of 64 KiB."""


class Control:
    """Acts for the machines of the shares that this controller owns."""

    def __init__(
        self,
        model: Model,
        member: Member,
        http: Client,
        tunables: Tunables,
        changed: Callable[[], None],
        alone: Callable[[], str | None],
        deputies: Deputies,
    ) -> None:
        self.deputies = deputies
        self.came: Callable[[str, str], None] | None = None
        """Told of workers that come to us and not to their owner, where there is a standby."""
        self.hearing = Hearing(model, member, http)
        self._model = model
        self._alone = alone
        self._member = member
        self._http = http
        self._clock = model.clock
        self._tunables = tunables
        self._changed = changed
        self._tasks = BackgroundTasks()
        self._met: set[str] = set()
        """Machines without a record that are being asked."""
        self._obedience = Obedience(model)
        self._reports = Reports(model, tunables)
        self.silence = Silence(model, member, http, tunables, changed, deputies, self._reports)

    def watch(self) -> list[Machine]:
        """Give up machines whose leases have certainly ended; returned are those newly lost."""
        return self.silence.watch()

    def suspect(self) -> None:
        """Ask machines that fell silent, and give those up that do not answer."""
        self.silence.suspect()

    # ---- reports ----

    def checkin(self, body: bytes) -> Reply:
        """Answer a worker's report."""
        try:
            report = wire.report_decoder.decode(body)
        except msgspec.DecodeError:
            return error_reply(400, "not a report")
        model = self._model
        with model.lock:
            if not model.loaded:
                return error_reply(503, "starting", 1)
            machine = model.machine(report.machine)
            if machine is None:
                self._stranger(report)
                leader = model.leader
                return self._redirect(None if leader is None else leader.claim.node)
            share = model.shares[machine.share]
            if not share.owned:
                machine.addr = report.addr
                if self.came is not None and share.held is not None:
                    self.came(share.held.claim.node, machine.name)
                if self.deputies.stands_in(
                    share, machine.zone
                ) and not self.deputies.island.passes_by(share, machine, report.token):
                    return self._stand_in(machine, report)
                return self._redirect(None if share.held is None else share.held.claim.node)
            proven = machine.proven(report.token)
            newer = proven and (report.session, report.seq) > (machine.session, machine.seq)
            if newer:
                # What may be a late copy tells nothing of the way from the workers to us.
                self.hearing.heard()
            if not self._member.entitled(share):
                return error_reply(503, "not entitled", 1)
            served = self._alone()
            if served is not None and not self._member.fresh(self._tunables.claim_ttl_s):
                # Our claims have ended by now, and a sibling can hold them.
                return self._redirect(served)
            if machine.lost:
                # Its tasks count as gone already; its lease must not be renewed.
                return error_reply(503, "given up", 1)
            word = self.deputies.island.word(share, machine, report.token)
            if word is Word.SEND_ON:
                # A newer owner has reached the worker. A 200 would have to be dropped, and the
                # worker would stay with us until its lease ends.
                return self._redirect(None if share.held is None else share.held.claim.node)
            if word is Word.STAND_IN:
                return self._stand_in(machine, report)
            if not proven:
                reply = self._unproven(machine, report)
            elif newer:
                reply = self._newer(machine, report)
            else:
                reply = self._older(machine, report)
        self._changed()
        return reply

    def _newer(self, machine: Machine, report: wire.Report) -> Reply:
        """Take over a report, and answer it with what there is to do."""
        now = self._clock.now()
        self._obedience.reported(machine, report, now)
        machine.mute = 0
        # A worker sends one report at a time, so that a newer one tells that the commands of
        # the response before it were either executed or given up.
        machine.response_open = False
        self._reports.apply(machine, report, direct=False)
        if machine.deaf:
            # An answer that got through after all would renew the lease whose end is waited for.
            return error_reply(503, "given up", 1)
        machine.answered_at = max(machine.answered_at, now)
        machine.reported = report.session, report.seq
        self._obedience.answered(machine, now)
        commands = self._commands(machine, direct=False)
        return Reply(200, wire.encode(wire.Orders(machine.token, commands)))

    def _older(self, machine: Machine, report: wire.Report) -> Reply:
        """Answer a copy, or a report that an answer to us has overtaken."""
        mark = (report.session, report.seq)
        if machine.deaf:
            return error_reply(503, "given up", 1)
        if mark > machine.reported and report.session == machine.session:
            if not machine.ours(report.token):
                return self._dropped(report)
            # Sent before that answer came, it renews the lease no longer than from then on.
            machine.reported = mark
            machine.answered_at = max(machine.answered_at, machine.heard_at)
        # Otherwise sent before one that was answered, or in an earlier session: it renews nothing.
        return Reply(200, wire.encode(wire.Orders(machine.token, [])))

    def _dropped(self, report: wire.Report) -> Reply:
        """Answer so that no lease is renewed: it would have to count, and this may be a copy. A
        worker drops an answer with a lower token, and stays; until its next report it has been
        asked."""
        if report.token == 0:
            return error_reply(503, "not known yet", 1)
        return Reply(200, wire.encode(wire.Orders(report.token - 1, [])))

    def _unproven(self, machine: Machine, report: wire.Report) -> Reply:
        """Answer the first word since we took over, sent to us or, long ago, to an owner before.

        It tells where to ask. Taken for new, a copy in which a task had exited had it placed
        elsewhere, although it had been launched again and ran.
        """
        now = self._clock.now()
        machine.addr = report.addr
        if machine.spoke_at is None:
            machine.spoke_at = now
        self._reports.testify(machine, report)
        machine.push_after = 0.0
        self._model.pushes.add(machine.index)
        if machine.attempts and now > machine.answered_at:
            return self._dropped(report)
        halts = []
        for item in report.tasks:
            # Only the worker itself can receive this, and then it is no copy.
            found = self._model.find(item.task)
            attempt = None
            if found is not None:
                attempt = machine.attempts.get((found[0].index, found[1]))
            ours = attempt is not None and attempt.number == item.attempt and not attempt.stopping
            if item.state != "exited" and not ours:
                halts.append(wire.Command("halt", item.task, item.attempt, 0.0))
        return Reply(200, wire.encode(wire.Orders(machine.token, halts[:MOST_COMMANDS])))

    def _stranger(self, report: wire.Report) -> None:
        """A machine without a record: it is adopted when it has answered itself. Late copies of a
        released one's reports came to a leader that had not seen its record go, which recorded it
        and looked for it in vain."""
        name = report.machine
        if name not in self._model.gone and name not in self._met and self._member.is_leader:
            self._met.add(name)
            self._spawn(self._meet(name, report.addr))

    async def _meet(self, name: str, address: str) -> None:
        report = await inspect(self._http, address, INSPECT_S)
        with self._model.lock:
            self._met.discard(name)
            if report is not None and report.machine == name and self._member.is_leader:
                self._model.unknown[name] = report

    def _stand_in(self, machine: Machine, report: wire.Report) -> Reply:
        """Let the worker's lease go on; what was cancelled is halted, nothing else is ordered."""
        if self.deputies.launch_held(machine, report):
            # It was carried out when the zones met again, long after the cancellation.
            return error_reply(503, "a cancelled launch may be held back", 1)
        halts = []
        for item in report.tasks:
            ended = self._model.ended.get(item.task.partition("/")[0])
            if ended is not None and ended[0] == Phase.WITHDRAWN and item.state != "exited":
                halts.append(wire.Command("halt", item.task, item.attempt, 0.0))
        return Reply(200, wire.encode(wire.Orders(report.token, halts[:MOST_COMMANDS])))

    def _redirect(self, node: str | None) -> Reply:
        if node == self._member.node:
            node = None
        return Reply(421, wire.encode(wire.Redirect(node)))

    # ---- commands ----

    def _commands(self, machine: Machine, direct: bool) -> list[wire.Command]:
        """What the worker should do now. Reaps come first: a task's old attempt is in the way."""
        if machine.busy:
            return []
        model = self._model
        commands: list[wire.Command] = []
        mark = (machine.session, machine.seq)
        halts: list[wire.Command] = []
        for item in machine.shown.values():
            found = model.find(item.task)
            attempt = None
            if found is not None:
                attempt = machine.attempts.get((found[0].index, found[1]))
                if attempt is not None and attempt.number != item.attempt:
                    attempt = None
            if attempt is not None and item.state != "exited":
                continue
            if item.state == "exited":
                # A task that is done is reaped when that is durable; any other one when no launch
                # of it can still be in flight, since it would start once more.
                if (
                    (attempt is None or not attempt.finishing)
                    and machine.clear
                    and not (direct and machine.response_open)
                    and (found is None or model.noted(*found, item.attempt))
                ):
                    commands.append(wire.Command("reap", item.task, item.attempt))
            else:
                halts.append(wire.Command("halt", item.task, item.attempt, 0.0))
        commands += halts
        room = machine.total.minus(machine.live_use())
        starts: list[Attempt] = []
        for attempt in machine.attempts.values():
            if attempt.finishing or attempt.stage == Stage.PLANNED:
                continue
            if attempt.stopping:
                if attempt.stage >= Stage.FETCHING and not (attempt.stop_sent and direct):
                    attempt.stop_sent = True
                    commands.append(
                        wire.Command("halt", attempt.name, attempt.number, attempt.grace_s)
                    )
                continue
            if attempt.stage != Stage.PLACED or attempt.sending or attempt.sent:
                continue
            if machine.mute:
                # It would be killed with the lease, which nothing renews, and given once more.
                continue
            if attempt.job.phase == Phase.OPEN and not attempt.held:
                starts.append(attempt)
        starts.sort(key=lambda a: (-a.job.rank, model.klass(a.job), a.planned_at))
        for attempt in starts[:MOST_COMMANDS]:
            if not attempt.job.need.fits(room):
                # Its victims have not left yet.
                continue
            if not model.may_launch(attempt):
                # What the team has on machines leaves no room under its limit.
                continue
            attempt.job.launch_given(attempt)
            room = room.minus(attempt.job.need)
            commands.append(wire.Command("launch", attempt.name, attempt.number))
            attempt.sent = True
            if direct:
                attempt.sending = True
            else:
                attempt.sent_mark = max(attempt.sent_mark, mark)
                machine.response_open = True
        return commands

    def push(self, machine: Machine) -> None:
        """Send what there is to do straight to the worker, if it can be reached."""
        now = self._clock.now()
        if machine.busy or now < machine.push_after:
            return
        if not self._member.entitled(self._model.shares[machine.share]):
            return
        if machine.session == 0:
            if machine.addr:
                # Just taken over: asked for its state, it can be used before its next report.
                machine.busy = True
                self._spawn(self._inspect(machine))
            return
        commands = self._commands(machine, direct=True)
        greeted = machine.greeted and not machine.deaf
        if not commands and machine.failures:
            # Nothing is placed on one that left commands unanswered: where there was nothing to say
            # any more, that was for ever.
            machine.busy = True
            self._spawn(self._inspect(machine))
            return
        if not commands and (greeted or machine.shown_token >= machine.token):
            return
        # Without commands it shows the worker our token: from then on it drops what an owner
        # before may still send, and leaves that one for us.
        machine.greeted = True
        machine.busy = True
        self._spawn(self._direct(machine, commands))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        self._tasks.spawn(work)

    async def _inspect(self, machine: Machine) -> None:
        term = machine.term
        report = await inspect(self._http, machine.addr, INSPECT_S)
        with self._model.lock:
            if machine.term != term or not self._model.shares[machine.share].owned:
                return
            machine.busy = False
            if report is None or report.machine != machine.name:
                machine.push_after = self._clock.now() + RETRY_S
            else:
                machine.failures = 0
                self._reports.apply(machine, report, direct=True)
                self._model.kicks.add(machine.share)
                self._model.pushes.add(machine.index)
        self._changed()

    async def _direct(self, machine: Machine, commands: list[wire.Command]) -> None:
        model = self._model
        token, term, session = machine.token, machine.term, machine.session
        body = wire.encode(wire.DirectOrders(token, session, commands))
        machine.told_directly = max(machine.told_directly, token)
        report: wire.Report | None = None
        unanswered = sent = True
        try:
            response = await self._http.request(machine.addr, "POST", "/do", body, DIRECT_S)
            unanswered = False
            if response.status in (200, 409):
                report = wire.report_decoder.decode(response.body)
        except NotSent:
            unanswered = sent = False
        except NoResponse:
            log.debug("%s did not answer a direct command", machine.name)
        except msgspec.DecodeError:
            unanswered = True
        with model.lock:
            if machine.term != term or not model.shares[machine.share].owned:
                return
            machine.busy = False
            launched = [attempt for attempt in machine.attempts.values() if attempt.sending]
            for attempt in launched:
                attempt.sending = False
            if unanswered:
                # The command may be executed at any later time. A higher token fences it as soon
                # as the worker has shown it.
                machine.doubt = max(machine.doubt, token)
                machine.doubt_session = max(machine.doubt_session or 0, session)
                machine.bump += 1
                for attempt in launched:
                    attempt.sent = False
            elif not sent or report is None:
                for attempt in launched:
                    attempt.sent = False
            if report is None:
                machine.failures += 1
                machine.push_after = self._clock.now() + RETRY_S
                for attempt in machine.attempts.values():
                    # As launches, halts are sent again: a worker that reaches nobody gets no answer
                    # that could bring them.
                    attempt.stop_sent = False
            else:
                machine.failures = 0
                mark = (report.session, report.seq)
                for attempt in launched:
                    attempt.sent_mark = max(attempt.sent_mark, (report.session, report.seq - 1))
                for command in commands:
                    if command.op == "reap":
                        machine.shown.pop(command.task, None)
                self._reports.apply(machine, report, direct=True)
                taken_back(machine, report)
                if mark >= (machine.session, machine.seq):
                    model.pushes.add(machine.index)
        self._changed()
