"""The log of attempts: the machine and duration of each attempt, and why it ended.

Records are written with the least urgency, many in one value, under keys that sort by time and that
no controller watches. A record holds one controller's observation of an attempt's end. It stays
true even if the shard has another owner when it is written, so that the write is conditional on no
claim. Two owners may observe the end of the same attempt, if the first did not make it durable:
reading returns only one record of an attempt, preferably one with a measured duration.
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
from badgerseam.store.client import ConditionFailedError, StateClient, StateUnavailableError
from badgerseam.store.committer import GroupCommitter, ProposalDroppedError, Urgency
from badgerseam.tunables import AccountingOptions
from badgerseam.wire import state as wire
from badgerseam.wire.accounting import AttemptRecord

log = logging.getLogger("badgerseam.accounting")

PREFIX = "ba/"
MAX_WAITING_RECORDS = 20_000
"""The maximum number of records of a shard that wait to be written. Further records are dropped and
counted, rather than the oldest ones, which may already be part of a write."""
FILL_FRACTION = 0.9
"""The fraction of the state service's limit for a value that a value may fill."""
MAX_RECORDS_PER_VALUE = 400
RECORD_BYTES = 48
"""The approximate size of a packed record. The actual size of a value is checked before its
write."""
MAX_PAGES_READ = 20
FLUSHES_PER_TRIM = 60
MAX_KEYS_TRIMMED = 10
TRIM_DEADLINE_S = 5.0
SECONDS_PER_DAY = 86400
LATE_S = 120.0
"""The longest delay between an attempt's end and the write of its record with which a search by the
time of the end still finds the record."""

_pack = msgspec.msgpack.Encoder().encode
_unpack: msgspec.msgpack.Decoder[list[AttemptRecord]] = msgspec.msgpack.Decoder(list[AttemptRecord])


class AttemptRecordsError(BadgerseamError, ValueError):
    """Raised if a stored value is not a list of attempt records."""


def pack(records: list[AttemptRecord]) -> str:
    """Returns records in their stored form: msgpack, compressed, in base 85."""
    return base64.b85encode(zlib.compress(_pack(records), 6)).decode()


def unpack(text: str) -> list[AttemptRecord]:
    """Returns stored records; raises AttemptRecordsError if the text is not a list of records."""
    try:
        return _unpack.decode(zlib.decompress(base64.b85decode(text)))
    except (ValueError, zlib.error, msgspec.DecodeError) as error:
        raise AttemptRecordsError(str(error)) from error


def log_key(shard: int, at: float, controller: str, serial: int) -> str:
    """Returns a key that sorts by time and is unique to one write of one controller.

    `at`: a time of day; `serial`: the number of the write at its controller.
    """
    return f"{PREFIX}{shard}/{round(at * 1000):015d}-{controller}-{serial}"


def _decode_value(value: msgspec.Raw) -> list[AttemptRecord]:
    return unpack(msgspec.json.decode(value, type=str))


class AttemptLog:
    """Writes the records of this controller, and reads the records of all controllers."""

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
        """The number of records dropped because too many waited to be written."""
        self._tasks = BackgroundTasks()

    def __len__(self) -> int:
        return sum(map(len, self._waiting))

    def add(self, shard: int, record: AttemptRecord) -> None:
        """Queues the record of an attempt that has ended."""
        queue = self._waiting[shard]
        if len(queue) >= MAX_WAITING_RECORDS:
            self.dropped_records += 1
        else:
            queue.append(record)

    # ---- writing ----

    async def run_forever(self) -> None:
        """Writes queued records and deletes old ones periodically, until cancelled."""
        flushes = 0
        while True:
            await asyncio.sleep(self._options.log_s)
            flushes += 1
            self.flush()
            if flushes % FLUSHES_PER_TRIM == 0:
                await self.trim()

    def flush(self) -> None:
        """Starts the writes that are due, one at a time for each shard."""
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
                    # No other controller writes this key: an earlier try of this write was applied.
                    log.debug("attempt records already written key=%s", key)
                for _ in records:
                    queue.popleft()
        except (StateUnavailableError, ProposalDroppedError):
            log.debug("attempt records not written shard=%d records=%d", shard, len(queue))
        finally:
            self._writing.discard(shard)

    def _next_value(self, queue: deque[AttemptRecord]) -> tuple[list[AttemptRecord], str]:
        """Returns the oldest records that fit into one value, and that value. The records stay
        queued until the value is written."""
        limit = int(self._committer.limits.value_bytes * FILL_FRACTION)
        count = min(len(queue), MAX_RECORDS_PER_VALUE, max(1, limit // RECORD_BYTES))
        while True:
            records = [queue[position] for position in range(count)]
            text = pack(records)
            if len(text) + 2 <= limit or count == 1:
                return records, text
            count = max(1, count * 3 // 4)

    async def trim(self) -> None:
        """Deletes values of owned shards that are older than `log_days`, a few at a time."""
        max_keys = min(MAX_KEYS_TRIMMED, self._committer.limits.writes)
        oldest = self._model.clock.wall() - self._options.log_days * SECONDS_PER_DAY
        for shard in self._model.shards:
            if not shard.owned:
                continue
            prefix = f"{PREFIX}{shard.index}/"
            try:
                page = await self._state.page(prefix, None)
                end = log_key(shard.index, oldest, "", 0)
                old = [entry for entry in page.items if entry.key < end][:max_keys]
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
        """Returns the attempts of a job whose records were written between two times of day, one
        record each, and whether the entire period could be read.

        Records written up to `LATE_S` after `until` are included.

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
