"""Tests of variants of deployment files: nothing is written unless the whole file is valid."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

from badgerseam.lab import variant

SITE = """
name = "north"
wire = "wire.json"
[nodes]
count = 3
restart_delay_s = 3.0
[[capacity]]
type = "c8"
zone = "a"
count = 10
spot = 4
[[capacity]]
type = "c8"
zone = "b"
count = 5
spot = 3
[[teams]]
name = "red"
cpus = 100.0
cpus_max = 0.0
[[jobs]]
name = "sums"
initial = 3
arrivals = { rate = 0.4 }
[[day]]
name = "guests"
jobs = [{ name = "more", arrivals = { rate = 2.0 } }]
"""


@pytest.fixture
def site(tmp_path: Path) -> Path:
    path = tmp_path / "north.toml"
    path.write_text(SITE)
    (tmp_path / "wire.json").write_text("{}")
    return path


def test_restart_delay_size_and_zones_are_changed_and_nothing_else(
    site: Path, tmp_path: Path
) -> None:
    out = tmp_path / "out"
    arguments = [str(site), str(out), "--restart", "0.1", "--times", "1.5", "--zones", "a"]
    assert variant.main(arguments) == 0
    (path,) = out.glob("*.toml")
    made = tomllib.loads(path.read_text())
    assert made["name"] == path.stem == "north-restart0.1-times1.5-in-a"
    assert made["nodes"] == {"count": 3, "restart_delay_s": 0.1}
    assert made["capacity"] == [{"type": "c8", "zone": "a", "count": 23, "spot": 10}]
    assert made["teams"] == [{"name": "red", "cpus": 150.0, "cpus_max": 0.0}]
    assert made["jobs"][0]["initial"] == 4
    assert made["day"][0]["jobs"][0]["arrivals"]["rate"] == 3.0
    assert (out / "wire.json").exists()


LIMITED = """
name = "south"
wire = "wire.json"
[[teams]]
name = "red"
cpus = 200.0
cpus_max = 1000.0
gpus = 8.0
gpus_max = 40
[[teams]]
name = "blue"
cpus = 0.0
cpus_max = 1000.0
gpus_max = 0.0
[[teams]]
name = "guests"
cpus_max = 0.0
[[jobs]]
name = "sums"
kind = "array"
cpus = 20.0
gpus = 0.0
vary = 0.3
tasks = { median = 30.0, max = 400.0 }
[[jobs]]
name = "portal"
kind = "service"
cpus = 6.0
gpus = 2.0
tasks = { sizes = [3, 5], weights = [1.0, 1.0] }
[[day]]
name = "busy"
jobs = [{ name = "portal", tasks = { sizes = [7] } }]
"""


@pytest.mark.parametrize(
    ("arguments", "red", "blue"),
    [
        # The limit is determined by the factor, by the guarantee, by a job that has to fit as a
        # whole, or by the largest task of an array.
        (["--limits", "0.5"], (500.0, 20), 500.0),
        (["--limits", "0.1"], (200.0, 14), 100.0),
        (["--limits", "0.01"], (200.0, 14), 42.0),
        (["--guarantees", "0.1", "--limits", "0.03"], (42.0, 14), 42.0),
    ],
)
def test_limits_stay_at_or_above_the_guarantee_and_the_needs_of_a_job(
    site: Path, tmp_path: Path, arguments: list[str], red: tuple[float, int], blue: float
) -> None:
    site.write_text(LIMITED)
    assert variant.main([str(site), str(tmp_path / "out"), *arguments]) == 0
    (path,) = (tmp_path / "out").glob("*.toml")
    teams = {team["name"]: team for team in tomllib.loads(path.read_text())["teams"]}
    assert (teams["red"]["cpus_max"], teams["red"]["gpus_max"]) == red
    assert isinstance(teams["red"]["gpus_max"], int), "an integer stays an integer"
    assert teams["blue"] == {"name": "blue", "cpus": 0.0, "cpus_max": blue, "gpus_max": 0.0}
    assert teams["guests"] == {"name": "guests", "cpus_max": 0.0}
    assert teams["red"]["cpus"] == (20.0 if "--guarantees" in arguments else 200.0)


def test_a_limit_allows_the_largest_task_of_an_array(site: Path, tmp_path: Path) -> None:
    site.write_text(LIMITED.replace('kind = "service"', 'kind = "array"'))
    assert variant.main([str(site), str(tmp_path / "out"), "--limits", "0.01"]) == 0
    (path,) = (tmp_path / "out").glob("*.toml")
    blue = tomllib.loads(path.read_text())["teams"][1]
    assert blue["cpus_max"] == 26.0


@pytest.mark.parametrize(
    ("content", "arguments", "named"),
    [
        (SITE, ["--times", "0"], "--times"),
        (SITE, ["--restart", "-1"], "--restart"),
        (SITE, ["--zones", "c"], "--zones"),
        (SITE, [], "no change"),
        ("name = ", ["--times", "2"], "not TOML"),
        ('name = "x"', ["--times", "2"], "capacity"),
        ('name = "x"', ["--restart", "1"], "nodes"),
        (SITE.replace("count = 10", 'count = "ten"'), ["--times", "2"], "capacity.count"),
        (LIMITED, ["--limits", "0"], "--limits"),
        (LIMITED, ["--limits", "nan"], "--limits"),
        (LIMITED, ["--guarantees", "-1"], "--guarantees"),
        ('name = "x"', ["--limits", "0.5"], "teams: missing"),
        (
            LIMITED.replace("= 1000.0", "= 0.0").replace("gpus_max = 40", "gpus_max = 0"),
            ["--limits", "1"],
            "no team",
        ),
        (LIMITED.replace("= 1000.0", '= "all"'), ["--limits", "0.5"], "teams.cpus_max"),
        (LIMITED.replace("cpus = 6.0", ""), ["--limits", "0.5"], "jobs.cpus"),
        (LIMITED.replace("vary = 0.3", "vary = -0.3"), ["--limits", "0.5"], "jobs.vary"),
        (LIMITED.replace("sizes = [3, 5]", "sizes = []"), ["--limits", "0.5"], "jobs.tasks"),
        (SITE.replace("wire.json", "none.json"), ["--times", "2"], "wire"),
    ],
)
def test_an_error_names_the_field_and_nothing_is_written(
    site: Path,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    content: str,
    arguments: list[str],
    named: str,
) -> None:
    site.write_text(content)
    assert variant.main([str(site), str(tmp_path / "out"), *arguments]) == 2
    assert named in capsys.readouterr().err
    assert not (tmp_path / "out").exists()


def test_a_variant_is_never_written_into_the_repository(site: Path) -> None:
    inside = variant.ROOT / "docs" / "sites"
    assert variant.main([str(site), str(inside), "--times", "2"]) == 2
    assert not inside.exists()
