"""The log of attempts: where each one ran, how long, and why it ended.

Records are written with the least urgency, many to a value, under keys that sort by time and that
no controller follows. A record is what one controller has observed of an end; it is true whoever
owns the shard by the time it is written, so that it depends on no claim. Two owners may have
observed the end of the same attempt, the first without making it durable: reading returns one
record, the one that measured the attempt.
"""

from __future__ import annotations

import asyncio
import base64
import logging
import zlib
from collections import deque
from collections.abc import Callable, Iterable

import msgspec

from badgerseam.background import BackgroundTasks
from badgerseam.errors import BadgerseamError
from badgerseam.model.model import Model
from badgerseam.settings import AccountingOptions
from badgerseam.store.client import ConditionFailedError, StateClient, StateUnavailableError
from badgerseam.store.committer import GroupCommitter, ProposalDroppedError, Urgency
from badgerseam.wire import state as wire
from badgerseam.wire.accounting import AttemptRecord

log = logging.getLogger("badgerseam.accounting")

PREFIX = "ba/"
MAX_WAITING_RECORDS = 20_000
"""Records of a shard that wait for their write; further ones are dropped, and counted. (The oldest
may be in a write already.)"""
FILL_FRACTION = 0.9
"""Of the state service's limit for a value."""
MAX_RECORDS_PER_VALUE = 400
RECORD_BYTES = 48
"""The approximate size of a packed record; the size of a value is checked before its write."""
MAX_PAGES_READ = 20
FLUSHES_PER_TRIM = 60
MAX_KEYS_TRIMMED = 10
TRIM_DEADLINE_S = 5.0
SECONDS_PER_DAY = 86400
LATE_S = 120.0
"""How long after its end an attempt's record may be written and still be found by the time of the
end."""

_pack = msgspec.msgpack.Encoder().encode
_unpack: msgspec.msgpack.Decoder[list[AttemptRecord]] = msgspec.msgpack.Decoder(list[AttemptRecord])


class AttemptRecordsError(BadgerseamError, ValueError):
    """A stored value that is no list of attempt records."""


def pack(records: list[AttemptRecord]) -> str:
    """Records as they are stored: msgpack, compressed, in base 85."""
    return base64.b85encode(zlib.compress(_pack(records), 6)).decode()


def unpack(text: str) -> list[AttemptRecord]:
    """Stored records; raises AttemptRecordsError if the text is not a list of them."""
    try:
        return _unpack.decode(zlib.decompress(base64.b85decode(text)))
    except (ValueError, zlib.error, msgspec.DecodeError) as error:
        raise AttemptRecordsError(str(error)) from error


def log_key(shard: int, at: float, controller: str, serial: int) -> str:
    """A key that sorts by time, and that no other controller or write has.

    `at`: a time of day; `serial`: counts the writes of the controller.
    """
    return f"{PREFIX}{shard}/{round(at * 1000):015d}-{controller}-{serial}"


def _decode_value(value: msgspec.Raw) -> list[AttemptRecord]:
    return unpack(msgspec.json.decode(value, type=str))


class AttemptLog:
    """Writes the records of this controller, and reads those of all."""

    def __init__(
        self,
        model: Model,
        state: StateClient,
        committer: GroupCommitter,
        options: AccountingOptions,
        controller: Callable[[], str],
    ) -> None:
        self._model = model
        self._state = state
        self._committer = committer
        self._options = options
        self._controller = controller
        self._waiting: list[deque[AttemptRecord]] = [deque() for _ in model.shards]
        self._writing: set[int] = set()
        self._serial = 0
        self.dropped_records = 0
        """Records that were dropped since too many waited."""
        self._tasks = BackgroundTasks()

    def __len__(self) -> int:
        return sum(map(len, self._waiting))

    def add(self, shard: int, record: AttemptRecord) -> None:
        """Queue the record of an attempt that has ended."""
        queue = self._waiting[shard]
        if len(queue) >= MAX_WAITING_RECORDS:
            self.dropped_records += 1
        else:
            queue.append(record)

    # ---- writing ----

    async def run_forever(self) -> None:
        """Write queued records and delete old ones, again and again, until cancelled."""
        flushes = 0
        while True:
            await asyncio.sleep(self._options.log_s)
            flushes += 1
            self.flush()
            if flushes % FLUSHES_PER_TRIM == 0:
                await self.trim()

    def flush(self) -> None:
        """Start the writes that are due, one at a time for each shard."""
        for shard, queue in enumerate(self._waiting):
            if queue and shard not in self._writing:
                self._writing.add(shard)
                self._tasks.spawn(self._write(shard))

    async def _write(self, shard: int) -> None:
        queue = self._waiting[shard]
        try:
            while queue:
                records, text = self._next_value(queue)
                self._serial += 1
                key = log_key(shard, self._model.clock.wall(), self._controller(), self._serial)
                write = wire.Write(put=key, value=wire.raw(text))
                try:
                    await self._committer.commit(Urgency.UPKEEP, {key: 0}, [write])
                except ConditionFailedError:
                    # Nobody else writes this key: an earlier attempt of this write was applied.
                    log.debug("attempt records already written key=%s", key)
                for _ in records:
                    queue.popleft()
        except (StateUnavailableError, ProposalDroppedError):
            log.debug("attempt records not written shard=%d records=%d", shard, len(queue))
        finally:
            self._writing.discard(shard)

    def _next_value(self, queue: deque[AttemptRecord]) -> tuple[list[AttemptRecord], str]:
        """The oldest records that fit into one value, and that value; they stay queued until it is
        written."""
        limit = int(self._state.params.value_kb * 1024 * FILL_FRACTION)
        count = min(len(queue), MAX_RECORDS_PER_VALUE, max(1, limit // RECORD_BYTES))
        while True:
            records = [queue[position] for position in range(count)]
            text = pack(records)
            if len(text) + 2 <= limit or count == 1:
                return records, text
            count = max(1, count * 3 // 4)

    async def trim(self) -> None:
        """Delete values of owned shards that are older than `log_days`, a few at a time."""
        oldest = self._model.clock.wall() - self._options.log_days * SECONDS_PER_DAY
        for shard in self._model.shards:
            if not shard.owned:
                continue
            prefix = f"{PREFIX}{shard.index}/"
            try:
                page = await self._state.page(prefix, None)
                end = log_key(shard.index, oldest, "", 0)
                old = [entry for entry in page.items if entry.key < end][:MAX_KEYS_TRIMMED]
                if old:
                    await self._committer.commit(
                        Urgency.UPKEEP,
                        {},
                        [wire.Write(delete=entry.key) for entry in old],
                        TRIM_DEADLINE_S,
                    )
            except (ConditionFailedError, StateUnavailableError, ProposalDroppedError) as error:
                log.debug("attempt log not trimmed shard=%d error=%s", shard.index, error)

    # ---- reading ----

    async def read(
        self, shard: int, job: str, since: float, until: float
    ) -> tuple[list[AttemptRecord], bool]:
        """The attempts of a job whose records were written between two times of day, each once, and
        whether all of that time could be read.

        Raises StateUnavailableError if the state service cannot be read, and AttemptRecordsError
        if a value is malformed.
        """
        prefix = f"{PREFIX}{shard}/"
        after = log_key(shard, max(0.0, since), "", 0)
        end = log_key(shard, until + LATE_S, "~", 0)
        found: dict[tuple[int, int], AttemptRecord] = {}

        def add(records: Iterable[AttemptRecord]) -> None:
            for record in records:
                if record.job != job:
                    continue
                key = (record.task, record.attempt)
                known = found.get(key)
                if known is None or (known.seconds is None and record.seconds is not None):
                    found[key] = record

        add(self._waiting[shard])
        is_complete = False
        for _ in range(MAX_PAGES_READ):
            page = await self._state.page(prefix, after)
            for entry in page.items:
                if entry.key <= end:
                    add(_decode_value(entry.value))
            if not page.more or not page.items or page.items[-1].key > end:
                is_complete = True
                break
            after = page.items[-1].key
        return [found[key] for key in sorted(found)], is_complete
