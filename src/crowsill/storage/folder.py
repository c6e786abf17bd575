"""The data folder, which one process locks and which stores the identity of that process."""

import fcntl
import os
import secrets
from pathlib import Path

from returns.result import Failure, Result, Success

_LOCK_FILE = "lock"
_IDENTITY_FILE = "identity"


def sync_folder(folder: Path) -> None:
    """Make the creation and renaming of files in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, content: bytes) -> None:
    """Replace a file atomically: after a crash it has either the old or the new content."""
    temporary = path.with_suffix(".new")
    with temporary.open("wb") as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    sync_folder(path.parent)


class DataFolder:
    """An open and locked data folder.

    Attributes:
        path: The folder.
        identity: `NAME.RANDOM`. An emptied folder gets a new identity, so that a member that lost
            its disk cannot be confused with the member before the loss.
    """

    def __init__(self, path: Path, identity: str, lock_descriptor: int) -> None:
        self.path = path
        self.identity = identity
        self._lock_descriptor = lock_descriptor

    def close(self) -> None:
        """Release the lock."""
        os.close(self._lock_descriptor)


def open_data_folder(path: Path, node: str) -> Result[DataFolder, str]:
    """Create the folder if it is missing, lock it, and read or create its identity.

    Args:
        path: The folder.
        node: Name of this process.

    Returns:
        The folder, or an error description if the folder is inaccessible, locked by another
        process or belongs to another node.
    """
    try:
        path.mkdir(parents=True, exist_ok=True)
        descriptor = os.open(path / _LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
    except OSError as error:
        return Failure(f"data folder {path}: {error}")
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        return Failure(f"data folder {path}: another process uses it")
    identity_path = path / _IDENTITY_FILE
    if not identity_path.exists():
        replace_file(identity_path, f"{node}.{secrets.token_hex(6)}".encode())
        sync_folder(path.parent)
    identity = identity_path.read_text(encoding="utf-8").strip()
    if identity.rpartition(".")[0] != node:
        os.close(descriptor)
        return Failure(f"data folder {path}: belongs to {identity!r}, not to node {node!r}")
    return Success(DataFolder(path, identity, descriptor))
