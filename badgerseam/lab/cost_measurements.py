"""Measures the cost of explanations, job lists and accounting for large shards in memory."""

from __future__ import annotations

import asyncio
import gc
import time
from random import Random

import msgspec

from badgerseam.accounting.job_history import JobHistory
from badgerseam.api.accounting import AccountingApi
from badgerseam.clock import Clock
from badgerseam.cluster.membership import Membership
from badgerseam.explain.supply import LeaderCloudView
from badgerseam.explain.surveys import Surveys
from badgerseam.lab.load import make_job
from badgerseam.lab.ports import free_ports
from badgerseam.lab.site import JobClass, Ports, SiteSpec, controller_settings
from badgerseam.model.job import Job, Stage
from badgerseam.model.keys import claim_key, group_key, job_key
from badgerseam.model.model import Model
from badgerseam.sched.planner import Planner
from badgerseam.settings import Team
from badgerseam.tunables import ExplainOptions, Tunables
from badgerseam.wire import state as wire
from badgerseam.wire.accounting import Usage
from badgerseam.wire.explain import CloudView
from badgerseam.wire.users import Terms


class Cost(msgspec.Struct, frozen=True):
    """The cost of a plan and of explanations of a shard. Times are in milliseconds."""

    machines: int
    waiting_tasks: int
    waiting_jobs: int
    plan: float
    """Processor time of one plan of the shard, for comparison."""
    one_answer: float
    """Processor time of a survey that explains one job: the last in the plan's order."""
    all_answers: float
    """Processor time of a survey that explains all waiting jobs."""
    longest_slice: float
    """The longest time for which a survey blocked the event loop, without garbage collection."""
    collector: float
    """The time of a full garbage collection by the interpreter, which may happen at any time, also
    during a plan."""


def build(machines: int, tasks: int, random: Random) -> tuple[Model, Planner]:
    """Returns a shard with full or nearly full machines and waiting jobs of varied size, rank, team
    and constraints.
    """
    teams = [Team(f"team-{number}", 64, 1e6) for number in range(8)]
    site = SiteSpec(shards=1, teams=teams, controllers=1)
    ports = {"node-0": Ports(1, 2, 3, 4, {})}
    clock = Clock()
    model = Model(controller_settings(site, ports, "node-0"), clock)
    model.loaded = True
    version = 1
    model.apply("bs/f", wire.raw(site.types), version)
    model.apply(claim_key(0), wire.raw(wire.Claim("node-0", 1)), 2)
    model.own(model.shards[0], 2, 0.0)
    for number in range(machines):
        row = wire.StoredMachine(
            f"m-{number:06d}", 0, "c8", random.choice("ab"), number % 3 == 0, "", clock.wall()
        )
        model.apply(group_key(row.name), wire.raw([row]), 3 + number)
    for machine in model.machines.values():
        machine.incarnation, machine.last_heartbeat_at = 1, clock.now() + 1e6
    planner = Planner(model, Tunables())

    def add_job(number: int, cpus: float, count: int, rank: str) -> Job:
        job_class = JobClass(
            "x",
            [random.choice(teams).name],
            rank=rank,  # type: ignore[arg-type]
            tasks=[count, count],
            cpus=cpus,
            scatter=random.random() < 0.1,
            zone=random.choice(["a", None, None]),
            spot=random.random() < 0.7,
            checkpoint_s=random.choice([0.0, 5.0]),
        )
        spec, _ = make_job(job_class, number, random)
        stored = wire.StoredJob("open", spec.tasks, clock.wall(), spec)
        model.apply(job_key(spec.id), wire.raw(stored), 10_000 + number)
        added = model.job(spec.id)
        assert added is not None
        return added

    number = 0
    for machine in model.machines.values():
        for cpus in random.choice([(4.0, 3.0), (2.0, 2.0, 3.0), (4.0, 2.0, 1.0)]):
            number += 1
            running_job = add_job(
                number, cpus, 1, random.choice(["high", "production", "standard"])
            )
            attempt = model.place(running_job, 0, 1, machine, Stage.RUNNING)
            attempt.started_at = clock.now() - random.uniform(0, 60)
    tasks_left = tasks
    while tasks_left > 0:
        number += 1
        count = min(tasks_left, random.randint(1, 30))
        tasks_left -= count
        add_job(number, random.choice([2.0, 4.0, 8.0]), count, random.choice(["high", "standard"]))
    return model, planner


async def _measure(machines: int, tasks: int, seed: int) -> Cost:
    model, planner = build(machines, tasks, Random(seed))
    shard = model.shards[0]
    options = ExplainOptions()

    async def get_cloud_view() -> CloudView | None:
        return CloudView([])

    surveys = Surveys(
        model,
        planner,
        LeaderCloudView(model.clock, get_cloud_view),
        0.5,
        options.slice_ms / 1000,
        0.0,
    )
    from badgerseam.sched import pts

    # Plans repeatedly, so that only jobs that a plan cannot start are left waiting.
    for _ in range(4):
        planner.run(shard)
        for attempt in [a for m in model.machines.values() for a in m.attempts.values()]:
            if attempt.stopping:
                model.unplace(attempt)
    started_at = time.perf_counter()
    gc.collect()
    collection_s = time.perf_counter() - started_at
    gc.freeze()
    started_at = time.process_time()
    plan = pts.plan(planner.snapshot(shard, planner.nodes(shard), planner.requests(shard)))
    plan_s = time.process_time() - started_at
    jobs = [model.jobs[index] for index in plan.waiting]
    waiting = {job for job in jobs if job is not None}
    last_job = next(job for job in reversed(jobs) if job is not None)

    async def cost(explained_jobs: set[Job]) -> float:
        surveys._charge(-1.0)
        started_at = time.process_time()
        await surveys.ask(shard, explained_jobs)
        return (time.process_time() - started_at) * 1000

    one_answer_ms = sorted([await cost({last_job}) for _ in range(5)])[2]
    all_answers_ms = sorted([await cost(waiting) for _ in range(3)])[1]
    return Cost(
        machines,
        sum(plan.waiting.values()),
        len(waiting),
        round(plan_s * 1000, 1),
        round(one_answer_ms, 1),
        round(all_answers_ms, 1),
        round(surveys.longest_slice_s * 1000, 1),
        round(collection_s * 1000, 1),
    )


def measure_why(machines: int, tasks: int, seed: int) -> Cost:
    """Measures explanations on a shard with the given numbers of machines and waiting tasks."""
    return asyncio.run(_measure(machines, tasks, seed))


class QueueCost(msgspec.Struct, frozen=True):
    """The cost of listing open jobs. Times are in seconds."""

    jobs: int
    bsqueue_s: float
    """Time from the first request to the rendered list, over HTTP on the loopback interface."""
    lines: int
    longest_page_s: float


async def _measure_queue(jobs: int, seed: int) -> QueueCost:
    from badgerseam.api.explain import ExplainApi
    from badgerseam.cli.client import ServiceClient
    from badgerseam.explain.explainer import Explainer
    from badgerseam.http.server import HttpServer, Reply
    from badgerseam.slurm import queue
    from badgerseam.slurm.client import BatchClient

    model, planner = build(20, 20, Random(seed))
    random = Random(seed)
    for number in range(jobs):
        job_class = JobClass("x", [random.choice(model.teams).name], tasks=[1, 20])
        spec, _ = make_job(job_class, 500_000 + number, random)
        terms = Terms(name=f"n{number % 40}", user="ana", hold=number % 3 == 0)
        spec = msgspec.structs.replace(spec, terms=terms)
        stored = wire.StoredJob("open", spec.tasks, model.clock.wall(), spec)
        model.apply(job_key(spec.id), wire.raw(stored), 1_000_000 + number)

    async def no_response(*_: object) -> None:
        return None

    membership = Membership(model, None, None, Tunables(), lambda: None)  # type: ignore[arg-type]
    explainer = Explainer(model, planner, membership, ExplainOptions(), no_response, no_response)
    explain_api = ExplainApi(model, explainer, ExplainOptions())
    longest = 0.0

    async def handle(_method: str, uri: str, _body: bytes) -> Reply:
        nonlocal longest
        started_at = time.perf_counter()
        reply = await explain_api.queue(uri.partition("?")[2])
        longest = max(longest, time.perf_counter() - started_at)
        return reply

    server = HttpServer(handle)
    port = free_ports(1)[0]
    server.listen(f"127.0.0.1:{port}")
    options = queue.make_parser(lambda _parser: None).parse_args([])
    started_at = time.perf_counter()
    text = queue.render_rows(
        queue.select_rows(
            await BatchClient(ServiceClient(f"127.0.0.1:{port}", 10.0)).queue(True), options
        ),
        options,
    )
    elapsed_s = time.perf_counter() - started_at
    server.stop()
    return QueueCost(jobs, round(elapsed_s, 3), len(text.splitlines()), round(longest, 4))


def measure_queue(jobs: int, seed: int) -> QueueCost:
    """Measures the list that bsqueue prints for the given number of open jobs."""
    return asyncio.run(_measure_queue(jobs, seed))


class HistoryCost(msgspec.Struct, frozen=True):
    """The cost of a controller's history of ended jobs."""

    jobs: int
    memory_mb: float
    """Memory of the history, including its index and totals."""
    note_us: float
    """Processor time in microseconds to decode a final record and add it."""
    record_bytes: float
    """Size of a final record in the state service; without accounting it is about 40 bytes."""
    list_ms: float
    """Processor time for a page of 500 jobs of one team."""


def measure_history(jobs: int, seed: int) -> HistoryCost:
    """Measures the history with the given number of ended jobs."""
    import tracemalloc

    random = Random(seed)
    records = []
    for number in range(jobs):
        causes = [random.randint(1, 20), *(random.randint(0, 2) for _ in range(6))]
        usage = Usage(
            f"team-{random.randint(0, 30)}",
            "renewal-reckon",
            "standard",
            f"name-{random.randint(0, 200)}",
            f"user-{random.randint(0, 50)}",
            4.0,
            0.0,
            14.0,
            1.7e9 + number,
            1.7e9 + number + 3,
            1.7e9 + number + 60,
            sum(causes),
            random.randint(0, 3),
            round(random.uniform(0, 5000), 3),
            round(random.uniform(0, 300), 3),
            0.0,
            round(random.uniform(0, 1), 6),
            causes,
        )
        stored = wire.StoredJob("done", causes[0], 1.7e9 + number, None, usage)
        records.append((f"job-{number:06d}", bytes(wire.raw(stored))))
    record_bytes = sum(len(record) for _, record in records) / jobs
    tracemalloc.start()
    history = JobHistory(jobs)
    before = tracemalloc.get_traced_memory()[0]
    for name, record in records:
        found: wire.StoredJob = msgspec.json.decode(record, type=wire.StoredJob)
        assert found.usage is not None
        history.add(name, found.state, found.tasks, found.usage)
    memory_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    timed_history = JobHistory(jobs)
    started_at = time.process_time()
    for name, record in records:
        found = msgspec.json.decode(record, type=wire.StoredJob)
        assert found.usage is not None
        timed_history.add(name, found.state, found.tasks, found.usage)
    elapsed_s = time.process_time() - started_at
    settings = controller_settings(
        SiteSpec(controllers=1), {"node-0": Ports(1, 2, 3, 4, {})}, "node-0"
    )
    api = AccountingApi(Model(settings, Clock()), history)
    started_at = time.process_time()
    api.jobs("team=team-7&limit=500")
    list_s = time.process_time() - started_at
    return HistoryCost(
        jobs,
        round(memory_bytes / 1e6, 1),
        round(elapsed_s / jobs * 1e6, 1),
        round(record_bytes, 1),
        round(list_s * 1000, 1),
    )
