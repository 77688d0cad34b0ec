"""Writes the report of an experiment to files: JSON, a timeline plot and an HTML page."""

from __future__ import annotations

import base64
import html
import io
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from badgerseam.lab.report import Report
from badgerseam.lab.served import LargestJobs, Served

if TYPE_CHECKING:
    from matplotlib.axes import Axes

PLOTTED_QUANTILES = ("50 %", "90 %", "99 %")
"""The labels in the plot of the first quantiles of the report."""
BAR_WIDTH = 0.25


def write_report(report: Report, folder: Path) -> list[Path]:
    """Writes report.json, timeline.png and report.html to a folder, and returns their paths."""
    folder.mkdir(parents=True, exist_ok=True)
    data_path = folder / "report.json"
    data_path.write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=2))
    plot_path = folder / "timeline.png"
    plot_path.write_bytes(_plot(report))
    page_path = folder / "report.html"
    page_path.write_text(_page(report, plot_path.read_bytes()))
    return [data_path, plot_path, page_path]


def largest_cells(largest: LargestJobs) -> list[str]:
    """Returns the table cells for the largest jobs of a class and shape."""
    seconds = ["-" if s is None else f"{s:.1f}" for s in (largest.first_s, largest.all_s)]
    served = "-" if largest.served is None else f"{largest.served:.3f}"
    return [
        str(largest.jobs),
        served,
        f"{largest.least:g}",
        *seconds,
        " ".join(largest.late),
    ]


def _plot(report: Report) -> bytes:
    """Returns the timeline and the waiting times as a PNG image."""
    # Optional dependency of the lab: the service and the other commands run without matplotlib.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (upper, lower) = pyplot.subplots(2, 1, figsize=(9, 6), layout="constrained")
    _plot_timeline(report, upper)
    _plot_first_starts(report, lower)
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=110)
    pyplot.close(figure)
    return buffer.getvalue()


def _plot_timeline(report: Report, axes: Axes) -> None:
    samples = report.samples
    times = [sample["t"] for sample in samples]
    for key, label in (("machines", "machines"), ("running", "running"), ("waiting", "fetching")):
        axes.plot(times, [sample[key] for sample in samples], label=label)
    healthy = [sample["healthy"] for sample in samples]
    axes.step(times, healthy, label="healthy controllers", ls=":")
    axes.set(xlabel="seconds", title="Machines and tasks (simulated)")
    axes.legend()


def _plot_first_starts(report: Report, axes: Axes) -> None:
    names = [name for name, figures in report.classes.items() if figures.first_start_s]
    for index, label in enumerate(PLOTTED_QUANTILES):
        positions = [number + BAR_WIDTH * index for number in range(len(names))]
        heights = [report.classes[name].first_start_s[index] for name in names]
        axes.bar(positions, heights, BAR_WIDTH, label=label)
    axes.set_xticks([number + BAR_WIDTH for number in range(len(names))], names)
    axes.set(ylabel="seconds", title="From submission to a task's first start")
    axes.legend()


def _page(report: Report, plot: bytes) -> str:
    """Returns the report as an HTML page that includes the plot."""
    image = base64.b64encode(plot).decode()
    return (
        "<!doctype html><meta charset=utf-8><title>badgerseam lab</title>"
        "<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right}"
        "</style><h1>Experiment</h1><p>Machines and their tasks are simulated; the controllers are "
        f"real processes. {report.seconds:.0f} s, {report.machines_rented} machines rented, "
        f"{report.cost:.3f} spent, {report.controllers_started} controller starts.</p>"
        f"<h2>Rule violations: {len(report.violations)}</h2>"
        f"<ul>{_list_items(report.violations)}</ul>"
        "<table><tr><th>class<th>jobs<th>accepted<th>ended<th>tasks started"
        "<th>first start s, 50 / 90 / 99 / 100 %<th>met deadline<th>restarts</tr>"
        f"{_class_rows(report)}</table>{_served_section(report.served)}"
        f"<h2>Priority inversions: {len(report.inversions)}, longest wait of a higher-class job: "
        f"{report.longest_inversion_s:.1f} s</h2>"
        f"<img alt='timeline' src='data:image/png;base64,{image}'>\n"
    )


def _class_rows(report: Report) -> str:
    return "".join(
        _row(
            [
                name,
                str(figures.jobs),
                str(figures.accepted),
                str(figures.ended),
                str(figures.tasks_started),
                " / ".join(f"{value:.2f}" for value in figures.first_start_s),
                "" if figures.on_time_fraction is None else f"{figures.on_time_fraction:.3f}",
                str(figures.restarts),
            ]
        )
        for name, figures in report.classes.items()
    )


def _served_section(served: Served) -> str:
    rows = "".join(
        _row([f"{kind} {name}", str(row.jobs), f"{row.served:.3f}"])
        for kind, table in (("class", served.classes), ("team", served.teams))
        for name, row in table.items()
    )
    largest_rows = "".join(
        _row([name, *largest_cells(largest)]) for name, largest in served.largest.items()
    )
    return (
        f"<h2>Served; failures: {len(served.failures)}</h2>"
        f"<ul>{_list_items(served.failures)}</ul>"
        f"<table><tr><th>of<th>jobs<th>served</tr>{rows}</table>"
        "<table><tr><th>largest of<th>jobs<th>served<th>tasks times CPUs, smallest"
        f"<th>first start s, latest<th>all s, latest<th>too late</tr>{largest_rows}</table>"
    )


def _row(cells: Sequence[str]) -> str:
    """Returns an HTML table row; the cells are plain text."""
    return "<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in cells) + "</tr>"


def _list_items(texts: Sequence[str]) -> str:
    return "".join(f"<li>{html.escape(text)}</li>" for text in texts)
