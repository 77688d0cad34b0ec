"""What came of an experiment: waits, lateness, evictions, money, broken rules."""

from __future__ import annotations

import base64
import html
import io
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
from hdrh.histogram import HdrHistogram
from msgspec import Struct, field

from badgerseam.lab.priority_inversions import find_inversions
from badgerseam.lab.reconcile import AccountingComparison
from badgerseam.lab.served import Largest, Served
from badgerseam.model.resources import Resources

if TYPE_CHECKING:
    from badgerseam.lab.explain_load import ExplainLoad
    from badgerseam.lab.history import Event
    from badgerseam.lab.lab import Lab

QUANTILES = (50.0, 90.0, 99.0, 100.0)


class Sample(Struct, frozen=True):
    """The lab at one moment: machines rented, tasks on machines and those that wait there for
    their images, controllers that take requests."""

    t: float
    machines: int
    running: int
    waiting: int
    healthy: int


class ClassFigures(Struct, frozen=True):
    """Of one class of jobs. Times in seconds, at the quantiles 50, 90, 99 and 100 %."""

    jobs: int
    accepted: int
    ended: int
    tasks_started: int
    first_start_s: list[float]
    """From the first attempt to submit to the first start of each task."""
    on_time_fraction: float | None = field(name="in_time")
    """Part of the jobs with a deadline that were done by it."""
    restarts: int = field(name="again")
    """Starts beyond a task's first: evicted, lost, moved."""


class Report(Struct, frozen=True):
    """All that is said of an experiment. The machines are simulated."""

    seconds: float
    classes: dict[str, ClassFigures]
    acceptance_s: list[float] = field(name="accept_s")
    polls: int
    failed_polls: int = field(name="polls_failed")
    machines_rented: int
    cost: float = field(name="money")
    controllers_started: int
    crashes: int = field(name="ended_by_themselves")
    violations: list[str] = field(name="breaches")
    served: Served
    unanswered: list[str] = field(default_factory=list, name="silent")
    """Accepted jobs about which the latest question was not answered, for too short a time to call
    them forgotten."""
    started_cancelled: int = 0
    """Starts after a confirmed cancellation."""
    accepted_invalid: int = field(default=0, name="accepted_odd")
    """Jobs accepted though they can't run or lack a field."""
    stale_answers: int = field(default=0, name="overtaken")
    """Answers older than one that came before them, to questions sent before that one came."""
    below_limit_s: dict[str, float] = field(default_factory=dict)
    """By team, the seconds for which it had work that waited, a limit not reached and room, while
    nothing was broken on purpose. `left_waiting` is broken when one job has 90 of them in a row."""
    inversions: list[str] = field(default_factory=list, name="jumps")
    """Starts of lower-class work past higher-class work, if the experiment says an order."""
    longest_inversion_s: float = field(default=0.0, name="longest_jump_s")
    """How long the work had waited that was passed, at most."""
    explain_statuses: dict[str, int] = field(default_factory=dict, name="questions")
    """Answers to questions why a job waits, by status; 0: no response."""
    explain_latency_s: list[float] = field(default_factory=list, name="answer_s")
    reasons: dict[str, int] = field(default_factory=dict)
    accounts: AccountingComparison | None = None
    """The accounts beside the history."""
    ownership_gaps_s: list[float] = field(default_factory=list, name="vacant_s")
    """How long nobody acted for a share or the leadership, each time, once somebody had."""
    rollouts: list[str] = field(default_factory=list)
    """How each rollout ended: empty, or why it stopped."""
    level: int = 1
    """Of the stored state at the end."""
    samples: list[Any] = field(default_factory=list)


def _quantiles(values: list[float]) -> list[float]:
    if not values:
        return []
    histogram = HdrHistogram(1, 3_600_000_000, 3)
    for value in values:
        histogram.record_value(max(1, round(value * 1e6)))
    return [round(histogram.get_value_at_percentile(q) / 1e6, 4) for q in QUANTILES]


def summarize(
    lab: Lab,
    samples: list[Sample],
    explain_load: ExplainLoad,
    accounts: AccountingComparison | None = None,
    order: Sequence[str] = (),
) -> Report:
    """The figures of a lab's history so far; `order`: classes of jobs, the first one first."""
    events = lab.history.events
    accept: list[float] = []
    first_submit: dict[str, float] = {}
    accepted: set[str] = set()
    polls = failed = 0
    for event in events:
        if event.kind == "submit":
            first_submit.setdefault(event.job, event.t)
        elif event.kind == "answer" and event.about == "submit" and event.status in (200, 201):
            if event.job not in accepted:
                accept.append(event.t - first_submit[event.job])
            accepted.add(event.job)
        elif event.kind == "answer" and event.about == "poll":
            polls += 1
            failed += event.status not in (200, 404)
    times = explain_load.times
    verdict = lab.judge()
    site = lab.site
    jumps = find_inversions(
        events,
        order,
        site.teams,
        {kind.name: Resources(kind.cpus, kind.gpus, kind.memory_gb) for kind in site.types},
        2 * site.workers.lease_s + site.workers.cancel_s,
    )
    return Report(
        round(lab.history.now(), 1),
        _classes(events, first_submit, accepted),
        _quantiles(accept),
        polls,
        failed,
        sum(event.kind == "machine" for event in events),
        round(lab.cloud_core.money(), 4),
        sum(controller.starts for controller in lab.controllers.values()),
        sum(controller.crashes for controller in lab.controllers.values()),
        [str(breach) for breach in verdict.violations],
        verdict.served,
        verdict.unanswered,
        verdict.counts.started_cancelled,
        verdict.counts.accepted_invalid,
        verdict.counts.stale_answers,
        verdict.below_limit_s,
        [str(jump) for jump in jumps],
        max((jump.waited_s for jump in jumps), default=0.0),
        {str(status): count for status, count in sorted(explain_load.statuses.items())},
        [round(times.get_value_at_percentile(q) / 1e6, 4) for q in QUANTILES]
        if times.get_total_count()
        else [],
        dict(explain_load.codes.most_common()),
        accounts,
        [round(gap, 3) for gap in lab.ownership_gaps.gaps],
        lab.rollouts,
        lab.ownership_gaps.level(),
        [msgspec.to_builtins(sample) for sample in samples],
    )


def _classes(
    events: list[Event], first_submit: dict[str, float], accepted: set[str]
) -> dict[str, ClassFigures]:
    specs: dict[str, dict[str, Any]] = {}
    started: dict[str, float] = {}
    starts: dict[str, int] = {}
    done: dict[str, float] = {}
    ended: set[str] = set()
    finished: dict[str, set[str]] = {}
    for event in events:
        name = event.job.partition("/")[0]
        if event.kind == "submit" and event.spec is not None:
            specs.setdefault(name, event.spec)
        elif event.kind == "on":
            started.setdefault(event.job, event.t)
            starts[event.job] = starts.get(event.job, 0) + 1
        elif event.kind == "off" and event.text == "done":
            finished.setdefault(name, set()).add(event.job)
            if len(finished[name]) == specs[name]["pieces"]:
                done.setdefault(name, event.t)
        elif event.kind == "answer" and event.phase in ("done", "withdrawn"):
            ended.add(name)
    figures: dict[str, ClassFigures] = {}
    for job_class in sorted({str(spec["jobclass"]) for spec in specs.values()}):
        jobs = {name for name, spec in specs.items() if spec["jobclass"] == job_class}
        tasks = [task for task in started if task.partition("/")[0] in jobs]
        due = [name for name in jobs & accepted if specs[name].get("dueS") is not None]
        due = [name for name in due if name in done or name not in ended]
        late = sum(
            done.get(name, 1e9) - first_submit[name] > float(specs[name]["dueS"]) for name in due
        )
        figures[job_class] = ClassFigures(
            len(jobs),
            len(jobs & accepted),
            len(jobs & ended),
            len(tasks),
            _quantiles([started[t] - first_submit[t.partition("/")[0]] for t in tasks]),
            round(1 - late / len(due), 4) if due else None,
            sum(starts[task] - 1 for task in tasks),
        )
    return figures


def write_report(report: Report, folder: Path) -> list[Path]:
    """report.json, timeline.png and report.html in a folder; their paths."""
    folder.mkdir(parents=True, exist_ok=True)
    data = folder / "report.json"
    data.write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=2))
    picture = folder / "timeline.png"
    picture.write_bytes(_plot(report))
    page = folder / "report.html"
    page.write_text(_page(report, picture.read_bytes()))
    return [data, picture, page]


def _plot(report: Report) -> bytes:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (upper, lower) = pyplot.subplots(2, 1, figsize=(9, 6), layout="constrained")
    t = [sample["t"] for sample in report.samples]
    for key in ("machines", "running", "waiting"):
        label = "fetching" if key == "waiting" else key
        upper.plot(t, [sample[key] for sample in report.samples], label=label)
    upper.step(t, [s["healthy"] for s in report.samples], label="healthy controllers", ls=":")
    upper.set(xlabel="seconds", title="Machines and tasks (simulated)")
    upper.legend()
    names = [name for name, figures in report.classes.items() if figures.first_start_s]
    for place, quantile in enumerate(("50 %", "90 %", "99 %")):
        heights = [report.classes[name].first_start_s[place] for name in names]
        lower.bar([i + 0.25 * place for i in range(len(names))], heights, 0.25, label=quantile)
    lower.set_xticks([i + 0.25 for i in range(len(names))], names)
    lower.set(ylabel="seconds", title="From submission to a task's first start")
    lower.legend()
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=110)
    pyplot.close(figure)
    return buffer.getvalue()


def largest_cells(big: Largest) -> list[str]:
    """The figures of a row of largest jobs, as people read them."""
    seconds = ["-" if s is None else f"{s:.1f}" for s in (big.first_s, big.all_s)]
    served = "-" if big.served is None else f"{big.served:.3f}"
    return [str(big.jobs), served, f"{big.least:g}", *seconds, " ".join(big.late)]


def _served(served: Served) -> str:
    rows = "".join(
        f"<tr><td>{kind} {html.escape(name)}</td><td>{row.jobs}</td><td>{row.served:.3f}</td></tr>"
        for kind, table in (("class", served.classes), ("team", served.teams))
        for name, row in table.items()
    )
    largest = "".join(
        f"<tr><td>{html.escape(name)}</td>"
        + "".join(f"<td>{html.escape(cell)}</td>" for cell in largest_cells(big))
        + "</tr>"
        for name, big in served.largest.items()
    )
    failures = "".join(f"<li>{html.escape(text)}</li>" for text in served.failures)
    return (
        f"<h2>Served; failures: {len(served.failures)}</h2><ul>{failures}</ul>"
        f"<table><tr><th>of<th>jobs<th>served</tr>{rows}</table>"
        "<table><tr><th>largest of<th>jobs<th>served<th>tasks times CPUs, least"
        f"<th>first start s, latest<th>all s, latest<th>too late</tr>{largest}</table>"
    )


def _page(report: Report, picture: bytes) -> str:
    rows = "".join(
        f"<tr><td>{html.escape(name)}</td><td>{f.jobs}</td><td>{f.accepted}</td><td>{f.ended}</td>"
        f"<td>{f.tasks_started}</td><td>{' / '.join(f'{v:.2f}' for v in f.first_start_s)}</td>"
        f"<td>{'' if f.on_time_fraction is None else f'{f.on_time_fraction:.3f}'}</td>"
        f"<td>{f.restarts}</td></tr>"
        for name, f in report.classes.items()
    )
    broken = "".join(f"<li>{html.escape(text)}</li>" for text in report.violations)
    image = base64.b64encode(picture).decode()
    return (
        "<!doctype html><meta charset=utf-8><title>badgerseam lab</title>"
        "<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right}"
        "</style><h1>Experiment</h1><p>Machines and their tasks are simulated; the controllers are "
        f"real processes. {report.seconds:.0f} s, {report.machines_rented} machines rented, "
        f"{report.cost:.3f} spent, {report.controllers_started} controller starts.</p>"
        f"<h2>Broken rules: {len(report.violations)}</h2><ul>{broken}</ul>"
        "<table><tr><th>class<th>jobs<th>accepted<th>ended<th>tasks started"
        "<th>first start s, 50 / 90 / 99 / 100 %<th>in time<th>started again</tr>"
        f"{rows}</table>{_served(report.served)}<h2>Jumps: {len(report.inversions)}, "
        f"at most over work that had waited for {report.longest_inversion_s:.1f} s</h2>"
        f"<img alt='timeline' src='data:image/png;base64,{image}'>\n"
    )
