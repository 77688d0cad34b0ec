"""Workers: their reports, the commands they get, and the fencing of commands in flight."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine

import msgspec

from badgerseam.cluster.deputies import Deputies
from badgerseam.cluster.member import Member
from badgerseam.http.client import Client, NoResponse, NotSent
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.job import Attempt, Phase, Stage
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.resources import NOTHING
from badgerseam.settings import Tunables
from badgerseam.wire import workers as wire
from badgerseam.workers import blame
from badgerseam.workers.hearing import Hearing
from badgerseam.workers.inspection import inspect

log = logging.getLogger("badgerseam.workers")

DIRECT_S = 2.0
INSPECT_S = 1.0
PROBE_S = 1.5
RETRY_S = 1.0
MOST_COMMANDS = 300
"""Commands in one response; some 90 bytes each, well within a line of 64 KiB."""
SILENT_REPORTS = 3
"""Report intervals without a report after which a machine is asked."""
RECENT_REPORTS = 1.5
"""Report intervals within which any machine that can reach us has reported."""
_STAGES = {"fetching": Stage.FETCHING, "running": Stage.RUNNING, "saving": Stage.SAVING}


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
        self._tasks: set[asyncio.Task[None]] = set()
        workers = model.settings.params.workers
        # Steady clocks differ by up to 0.05 %; the rest of the margin is for slow code.
        self.lease_bound_s = workers.lease_s * 1.001 + tunables.margin_s
        self._report_s = workers.report_s

    # ---- reports ----

    def checkin(self, body: bytes) -> Reply:
        """Answer a worker's report."""
        try:
            report = wire.report_decoder.decode(body)
        except msgspec.DecodeError:
            return error_reply(400, "not a report")
        self.hearing.heard()
        model = self._model
        with model.lock:
            if not model.loaded:
                return error_reply(503, "starting", 1)
            machine = model.machine(report.machine)
            if machine is None:
                model.unknown[report.machine] = report
                leader = model.leader
                return self._redirect(None if leader is None else leader.claim.node)
            share = model.shares[machine.share]
            if not share.owned:
                machine.addr = report.addr
                if self.came is not None and share.held is not None:
                    self.came(share.held.claim.node, machine.name)
                if self.deputies.stands_in(share, machine.zone):
                    return self._stand_in(report)
                return self._redirect(None if share.held is None else share.held.claim.node)
            if not self._member.entitled(share):
                return error_reply(503, "not entitled", 1)
            served = self._alone()
            if served is not None and not self._member.fresh(self._tunables.claim_ttl_s):
                # Our claims have ended by now, and a sibling can hold them.
                return self._redirect(served)
            if report.token > machine.token:
                # A newer owner has reached the worker. A 200 would have to be dropped, and the
                # worker would stay with us until its lease ends.
                return self._redirect(None if share.held is None else share.held.claim.node)
            if machine.lost:
                # Its tasks count as gone already; its lease must not be renewed.
                return error_reply(503, "given up", 1)
            # A worker sends one report at a time, so that a newer one tells that the commands of
            # the response before it were either executed or given up.
            if (report.session, report.seq) > (machine.session, machine.seq):
                machine.response_open = False
            fresh = self._apply(machine, report, direct=False)
            machine.answered_at = max(machine.answered_at, self._clock.now())
            commands = self._commands(machine, direct=False) if fresh else []
            reply = Reply(200, wire.encode(wire.Orders(machine.token, commands)))
        self._changed()
        return reply

    def _stand_in(self, report: wire.Report) -> Reply:
        """Let the worker's lease go on; what was cancelled is halted, nothing else is ordered."""
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

    def _apply(self, machine: Machine, report: wire.Report, direct: bool) -> bool:
        """Take over a report; False if it is older than what is known.

        `direct`: it came as the response to a direct command, perhaps while the response to a
        report is still on its way to the worker with launches in it.
        """
        mark = (report.session, report.seq)
        if mark <= (machine.session, machine.seq):
            # Held back on its way: its task list is as old as it is.
            return False
        model = self._model
        now = self._clock.now()
        if report.session > machine.session:
            # The lease of a session runs from its begin. Where we hear of it by a direct answer,
            # no report of it may have been answered yet, and the machine came up long after it
            # was recorded: it is not to be counted as silent since then.
            machine.answered_at = max(machine.answered_at, now)
        machine.session, machine.seq = mark
        machine.heard_at = now
        machine.shown_token = max(machine.shown_token, report.token)
        machine.addr = report.addr
        if report.notice_s is None:
            machine.recall_at = None
        else:
            machine.recall_at = now + report.notice_s
            machine.draining = True
        current = report.token > machine.doubt
        shown: dict[str, wire.TaskReport] = {}
        strays = NOTHING
        seen: set[tuple[int, int]] = set()
        for item in report.tasks:
            shown[item.task] = item
            found = model.find(item.task)
            if found is None:
                continue
            job, task = found
            attempt = machine.attempts.get((job.index, task))
            if attempt is None or attempt.number != item.attempt or attempt.finishing:
                if item.state != "exited":
                    strays = strays.plus(job.need)
                continue
            seen.add((job.index, task))
            self._progress(machine, attempt, item, now)
        machine.shown = shown
        if strays != machine.strays:
            machine.strays = strays
            machine.node = None
        for key, attempt in list(machine.attempts.items()):
            if key in seen or attempt.finishing or attempt.stage == Stage.PLANNED:
                continue
            if attempt.sending or mark <= attempt.sent_mark:
                continue
            if direct and machine.response_open:
                continue
            # Not on the machine, in a report that is newer than every launch of it.
            attempt.sent = False
            # Whatever it did before, it would begin anew.
            attempt.started_at = 0.0
            if not current:
                # A launch with an older token may still be in flight.
                continue
            if attempt.stage >= Stage.FETCHING:
                # It was there and is gone without a word: its session has ended.
                attempt.stage = Stage.PLACED
                machine.node = None
            if attempt.stopping or machine.draining:
                model.unplace(attempt)
        return True

    def _progress(
        self, machine: Machine, attempt: Attempt, item: wire.TaskReport, now: float
    ) -> None:
        model = self._model
        job = attempt.job
        if attempt.stage == Stage.PLANNED:
            return
        if item.state != "exited":
            stage = _STAGES.get(item.state, Stage.RUNNING)
            if stage == Stage.FETCHING:
                # Given once more after its session had ended: what was known of its start is past.
                attempt.started_at = 0.0
            if stage == Stage.RUNNING and attempt.stage < Stage.RUNNING:
                # An owner before us may have seen it begin, and kept that with its row.
                attempt.started_at = attempt.started_at or now
                attempt.unseen = False
                log.debug(
                    "%s (%s) runs on %s: seen %.2f s ago, planned %.2f s ago",
                    attempt.name,
                    job.spec.job_class,
                    machine.name,
                    now - job.seen_at,
                    now - attempt.planned_at,
                )
                machine.images.add(job.spec.image)
            elif stage == Stage.RUNNING:
                blame.runs_on(attempt, now)
            if attempt.stage != stage:
                attempt.stage = stage
                machine.node = None
            attempt.sent = True
            return
        model.kicks.add(machine.share)
        share = model.shares[machine.share]
        if item.why == "done":
            if job.phase != Phase.OPEN:
                model.unplace(attempt)
                return
            if job.rank < 2 and not attempt.finishing:
                share.finished += 1
            machine.images.add(job.spec.image)
            blame.completed(machine, job)
            model.finish(attempt, now + self._tunables.done_delay_s)
            return
        if item.why in ("error", "no_such", "full", "in_use"):
            log.debug("%s failed on %s: %s", attempt.name, machine.name, item.why)
            if item.why != "error":
                job.failed(now, None)
            else:
                attempt.error = True
                if blame.failed(machine, attempt, now) and not machine.draining:
                    log.info("%s fails the tasks of many jobs: drained", machine.name)
                    machine.draining = True
        model.unplace(attempt)

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
            if attempt.job.phase == Phase.OPEN:
                starts.append(attempt)
        starts.sort(key=lambda attempt: (-attempt.job.rank, attempt.planned_at))
        for attempt in starts[:MOST_COMMANDS]:
            if not attempt.job.need.fits(room):
                # Its victims have not left yet.
                continue
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
        if not commands and (machine.greeted or machine.shown_token >= machine.token):
            return
        # Without commands it shows the worker our token: from then on it drops what an owner
        # before may still send, and leaves that one for us.
        machine.greeted = True
        machine.busy = True
        self._spawn(self._direct(machine, commands))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

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
                self._apply(machine, report, direct=True)
                self._model.kicks.add(machine.share)
                self._model.pushes.add(machine.index)
        self._changed()

    async def _direct(self, machine: Machine, commands: list[wire.Command]) -> None:
        model = self._model
        token, term, session = machine.token, machine.term, machine.session
        body = wire.encode(wire.DirectOrders(token, session, commands))
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
                machine.bump += 1
                for attempt in launched:
                    attempt.sent = False
            elif not sent or report is None:
                for attempt in launched:
                    attempt.sent = False
            if report is None:
                machine.failures += 1
                machine.push_after = self._clock.now() + RETRY_S
            else:
                machine.failures = 0
                mark = (report.session, report.seq)
                for attempt in launched:
                    attempt.sent_mark = max(attempt.sent_mark, (report.session, report.seq - 1))
                for command in commands:
                    if command.op == "reap":
                        machine.shown.pop(command.task, None)
                self._apply(machine, report, direct=True)
                if mark >= (machine.session, machine.seq):
                    model.pushes.add(machine.index)
        self._changed()

    # ---- silence ----

    def watch(self) -> list[Machine]:
        """Give up machines whose leases have certainly ended; returned are those newly lost."""
        model = self._model
        lost = []
        now = self._clock.now()
        self.deputies.look()
        others: dict[str, float] = {}
        entitled = [share.owned and self._member.entitled(share) for share in model.shares]
        for machine in model.machines.values():
            if machine.lost or not entitled[machine.share]:
                continue
            other = others.get(machine.zone)
            if other is None:
                other = others[machine.zone] = self.deputies.renewed_until(machine.zone)
            ends = max(machine.answered_at, other) + self.lease_bound_s
            if now <= ends or (machine.session == 0 and not machine.attempts):
                continue
            if not self.deputies.certain_since(ends):
                continue
            log.info("%s is lost with %d tasks", machine.name, len(machine.attempts))
            machine.lost = True
            lost.append(machine)
            for attempt in list(machine.attempts.values()):
                if attempt.stage != Stage.PLANNED and not attempt.finishing:
                    model.unplace(attempt)
        return lost

    def suspect(self) -> None:
        """Ask machines that fell silent, and give those up that do not answer.

        Their release makes certain that their tasks are gone, sooner than the end of their lease.
        If many are silent at once, or a whole zone is, the trouble lies between us and them, and
        nothing is given up.
        """
        model = self._model
        now = self._clock.now()
        silent: list[Machine] = []
        heard: dict[str, int] = {}
        for machine in model.machines.values():
            share = model.shares[machine.share]
            if machine.lost or machine.dropped or not share.owned:
                continue
            # One that has not been heard since a takeover is missed as well, if it held work.
            heard_at = max(machine.heard_at, machine.taken_at)
            if now - heard_at > SILENT_REPORTS * self._report_s:
                if machine.session > 0 or machine.attempts:
                    silent.append(machine)
            elif machine.session > 0 and now - machine.heard_at <= RECENT_REPORTS * self._report_s:
                # Only what was heard since the others fell silent tells that it lies with them:
                # when a zone is cut off, all of its machines fall silent within one interval, and
                # the first to be missed were given up since the last seemed to be heard still.
                heard[machine.zone] = heard.get(machine.zone, 0) + 1
        if len(silent) > max(1, sum(heard.values()) // 2):
            return
        for machine in silent:
            if not machine.addr:
                # Its address is still to be learnt: nothing can be said about it.
                continue
            if heard.get(machine.zone) and not machine.probing and not machine.given_up:
                machine.probing = True
                self._spawn(self._probe(machine))

    async def _probe(self, machine: Machine) -> None:
        term, heard_at = machine.term, machine.heard_at
        report = await inspect(self._http, machine.addr, PROBE_S)
        with self._model.lock:
            machine.probing = False
            if machine.term != term or machine.heard_at != heard_at:
                return
            if report is not None and report.machine == machine.name:
                # It lives, and finds no way to us by itself: what it says counts all the same.
                machine.heard_at = self._clock.now()
                self._apply(machine, report, direct=True)
                self._model.kicks.add(machine.share)
                self._model.pushes.add(machine.index)
            elif self._member.fresh(2 * self._report_s):
                log.info(
                    "%s is silent with %d tasks: given up", machine.name, len(machine.attempts)
                )
                machine.given_up = True
                machine.draining = True
        self._changed()
