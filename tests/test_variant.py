"""Deployment files derived for acceptance: nothing is written unless all of it was understood."""

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


def test_restarts_sizes_and_zones_are_changed_and_nothing_else(site: Path, tmp_path: Path) -> None:
    out = tmp_path / "out"
    asked = [str(site), str(out), "--restart", "0.1", "--times", "1.5", "--zones", "a"]
    assert variant.main(asked) == 0
    (path,) = out.glob("*.toml")
    made = tomllib.loads(path.read_text())
    assert made["name"] == path.stem == "north-restart0.1-times1.5-in-a"
    assert made["nodes"] == {"count": 3, "restart_delay_s": 0.1}
    assert made["capacity"] == [{"type": "c8", "zone": "a", "count": 23, "spot": 10}]
    assert made["teams"] == [{"name": "red", "cpus": 150.0, "cpus_max": 0.0}]
    assert made["jobs"][0]["initial"] == 4
    assert made["day"][0]["jobs"][0]["arrivals"]["rate"] == 3.0
    assert (out / "wire.json").exists()


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
        (SITE.replace("wire.json", "none.json"), ["--times", "2"], "wire"),
    ],
)
def test_what_is_wrong_is_named_and_nothing_is_written(
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
