"""Notes are stored in pages, regardless of which controller writes the pages and in which order."""

from __future__ import annotations

import asyncio

from badgerseam.model.keys import LEVEL_KEY, page_key
from badgerseam.wire import state as wire
from tests.support.scripted_peers import ControllerFixture

NOTES_LEVEL = 3


def _fixture_at_level_of_notes() -> ControllerFixture:
    fixture = ControllerFixture()
    fixture.set(LEVEL_KEY, wire.SiteLevel(NOTES_LEVEL, "n-0", 0.0))
    fixture.own()
    return fixture


def _stored_notes(fixture: ControllerFixture) -> list[wire.Note]:
    pages = (fixture.state.core.get(page_key(0, number)) for number in range(8))
    return [
        note
        for page in pages
        if page is not None
        for entry in wire.page_decoder.decode(page.value)
        for note in entry.notes
    ]


def test_a_note_survives_its_owner_and_rewrites_of_its_page() -> None:
    fixture = _fixture_at_level_of_notes()
    job = fixture.job()
    shard = fixture.model.shards[0]
    for step in range(1, 8):
        job.add_note(wire.StoredFailures(2, step))
        shard.notes_due.add(job.index)
        fixture.run(fixture.settle())
    assert max(note.step for note in _stored_notes(fixture)) == 7
    other = ControllerFixture(peer=fixture, node="n-1")
    other.sync()
    copy = other.model.job(job.id)
    assert copy is not None
    assert copy.notes == {(wire.StoredFailures, 2): wire.StoredFailures(2, 7)}
    # Pages may be read in any order: an older note must not replace a newer one.
    copy.read_note(wire.StoredFailures(2, 3), 0)
    assert copy.notes[wire.StoredFailures, 2].step == 7


def test_a_note_of_a_refused_write_is_written_again() -> None:
    fixture = _fixture_at_level_of_notes()
    job = fixture.job()
    job.add_note(wire.StoredReplica(0, 1, 0, 1, 5))
    fixture.model.shards[0].notes_due.add(job.index)
    fixture.state.script = ["lost", "503"]

    async def wait() -> None:
        for _ in range(100):
            fixture.ledger.flush()
            await asyncio.sleep(0.005)

    fixture.run(wait())
    assert _stored_notes(fixture) == [wire.StoredReplica(0, 1, 0, 1, 5)]


def test_no_note_is_written_below_the_level_of_notes() -> None:
    fixture = ControllerFixture()
    fixture.own()
    job = fixture.job()
    job.add_note(wire.StoredFailures(0, 1))
    fixture.model.shards[0].notes_due.add(job.index)
    fixture.run(fixture.settle())
    assert _stored_notes(fixture) == []
    fixture.set(LEVEL_KEY, wire.SiteLevel(NOTES_LEVEL, "n-0", 0.0))
    fixture.run(fixture.settle())
    assert _stored_notes(fixture) == [wire.StoredFailures(0, 1)]
