"""Recovery of the journal and the snapshot, and locking of the data folder."""

import subprocess
import sys

import pytest
from hypothesis import given, strategies
from returns.result import Success

from crowsill.consensus.membership import Membership
from crowsill.consensus.messages import EntryKind, LogEntry
from crowsill.consensus.types import HardState, Ready, Snapshot
from crowsill.storage.folder import open_data_folder
from crowsill.storage.frames import DamagedFileError, encode_frame, scan_frames
from crowsill.storage.journal import Journal


def entry(index, term=1):
    return LogEntry(index, term, EntryKind.COMMAND, b"x" * index)


def open_journal(folder):
    journal = Journal(folder)
    return journal, journal.recover()


def write_journal(folder):
    journal, _ = open_journal(folder)
    journal.save(Ready(hard_state=HardState(1, "a"), entries=[entry(1), entry(2)]))
    journal.save(Ready(hard_state=HardState(2, None), truncate_from=2, entries=[entry(2, 2)]))
    journal.close()


def test_synced_state_is_recovered(tmp_path):
    write_journal(tmp_path)
    _, state = open_journal(tmp_path)
    assert state.hard_state == HardState(2, None)
    assert (state.log.last_index, state.log.last_term) == (2, 2)


def test_a_torn_tail_is_truncated(tmp_path):
    write_journal(tmp_path)
    path = tmp_path / "journal"
    path.write_bytes(path.read_bytes()[:-3])
    journal, state = open_journal(tmp_path)
    assert state.hard_state == HardState(1, "a") and state.truncated_bytes > 0
    journal.save(Ready(entries=[entry(3)]))
    journal.close()
    assert open_journal(tmp_path)[1].log.last_index == 3


def test_damage_before_the_end_is_rejected(tmp_path):
    write_journal(tmp_path)
    path = tmp_path / "journal"
    content = bytearray(path.read_bytes())
    content[14] ^= 1
    path.write_bytes(content)
    with pytest.raises(DamagedFileError):
        open_journal(tmp_path)


def test_a_snapshot_replaces_the_entries_before_it(tmp_path):
    journal, _ = open_journal(tmp_path)
    journal.save(Ready(hard_state=HardState(3, "b"), entries=[entry(1), entry(2), entry(3)]))
    journal.save_snapshot(Snapshot(2, 1, Membership(), b"state"), [entry(3)])
    journal.save(Ready(entries=[entry(4)]))
    journal.close()
    _, state = open_journal(tmp_path)
    assert state.snapshot is not None and state.snapshot.data == b"state"
    assert (state.log.snapshot_index, state.log.last_index) == (2, 4)
    assert state.hard_state == HardState(3, "b")


def test_a_crash_between_snapshot_and_journal_loses_nothing(tmp_path):
    journal, _ = open_journal(tmp_path)
    journal.save(Ready(hard_state=HardState(3, "b"), entries=[entry(1), entry(2), entry(3)]))
    old_journal = (tmp_path / "journal").read_bytes()
    journal.save_snapshot(Snapshot(2, 1, Membership(), b"state"), [entry(3)])
    journal.close()
    (tmp_path / "journal").write_bytes(old_journal)
    _, state = open_journal(tmp_path)
    assert (state.log.snapshot_index, state.log.last_index) == (2, 3)


@given(strategies.lists(strategies.binary(max_size=40), max_size=5), strategies.integers(0, 300))
def test_truncation_anywhere_leaves_a_prefix_of_the_frames(payloads, cut):
    content = b"".join(encode_frame(payload) for payload in payloads)
    recovered = scan_frames(content[:cut]).payloads
    assert recovered == payloads[: len(recovered)]


def test_a_folder_has_one_process_and_one_identity(tmp_path):
    first = open_data_folder(tmp_path, "a").unwrap()
    code = (
        "import sys; from pathlib import Path;"
        "from crowsill.storage.folder import open_data_folder;"
        "print(open_data_folder(Path(sys.argv[1]), 'a'))"
    )
    command = [sys.executable, "-c", code, str(tmp_path)]
    printed = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    assert "another process" in printed
    first.close()
    second = open_data_folder(tmp_path, "a").unwrap()
    assert second.identity == first.identity
    second.close()
    assert not isinstance(open_data_folder(tmp_path, "b"), Success)


def test_different_folders_get_different_identities(tmp_path):
    first = open_data_folder(tmp_path / "one", "a").unwrap()
    second = open_data_folder(tmp_path / "two", "a").unwrap()
    assert first.identity != second.identity
