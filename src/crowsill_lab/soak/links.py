"""Links between gateways and replicas of a soak: which are cut, and what callers see of it.

Gateways and replicas share one address, so a replica finds out from the kernel's tables which
process has opened a connection.
"""

import asyncio
import contextlib
import os
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from random import Random

from crowsill_lab.soak.signal_ledger import GatewayRun
from crowsill_lab.soak.site import Gateway

# A gateway knows what has changed around it after this time.
CONTACT_S = 3.0
MIN_CUT_S = 5.0
MAX_CUT_S = 7.0
MAX_PAUSE_S = 2.0
# Failed first tries at cut gateways that are allowed: a number, and a share of all first tries.
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 0.02
INTERVAL_S = 0.5
# Served share at cut gateways, as a part of that at the others.
MIN_SERVED_RATIO = 2.0 / 3.0


class LinkFault(StrEnum):
    """How the links of a gateway to all replicas fail.

    Attributes:
        RESET: Open connections are reset, and new ones right after they were accepted.
        NO_NEW: Only new connections are reset.
    """

    RESET = "reset"
    NO_NEW = "no_new"


@dataclass(frozen=True, slots=True)
class FirstTry:
    """The first try of one request.

    Attributes:
        gateway: Name of the gateway.
        sent_at_s: Monotonic time at which it was sent.
        is_served: Whether it was answered 200.
    """

    gateway: str
    sent_at_s: float
    is_served: bool


@dataclass(frozen=True, slots=True)
class Cut:
    """A time during which gateways have no links to replicas.

    Attributes:
        gateways: Names of the gateways.
        began_at_s: Monotonic time of its begin.
        ended_at_s: Monotonic time of its end.
    """

    gateways: frozenset[str]
    began_at_s: float
    ended_at_s: float


@dataclass(slots=True)
class LinkLedger:
    """Cuts, and the first tries of callers.

    >>> ledger = LinkLedger()
    >>> ledger.cuts.append(Cut(frozenset({"g1"}), 0.0, 5.0))
    >>> for number in range(60):
    ...     ledger.tries.append(FirstTry("g1", 3.0 + number / 30, number % 2 == 0))
    ...     ledger.tries.append(FirstTry("g2", 3.0 + number / 30, True))
    >>> ledger.violations()
    ['g1 cut off for 5.0 s: 30 of 60 first tries served there, 60 of 60 elsewhere']
    """

    cuts: list[Cut] = field(default_factory=list)
    tries: list[FirstTry] = field(default_factory=list)

    def violations(self) -> list[str]:
        """Return a line for each cut in which its gateways served far less than the others."""
        found = []
        for cut in self.cuts:
            at = [
                item
                for item in self.tries
                if cut.began_at_s + CONTACT_S <= item.sent_at_s < cut.ended_at_s
            ]
            others = [item for item in at if item.gateway not in cut.gateways]
            # Where nobody else is served either, nobody could help.
            helped = {_interval(item) for item in others if item.is_served}
            here = [
                item.is_served
                for item in at
                if item.gateway in cut.gateways and _interval(item) in helped
            ]
            elsewhere = [item.is_served for item in others]
            if not here or not elsewhere:
                continue
            failed = len(here) - sum(here)
            is_worse = sum(here) / len(here) < MIN_SERVED_RATIO * sum(elsewhere) / len(elsewhere)
            if is_worse and failed > ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * len(at):
                found.append(
                    f"{', '.join(sorted(cut.gateways))} cut off for "
                    f"{cut.ended_at_s - cut.began_at_s:.1f} s: {sum(here)} of {len(here)} first "
                    f"tries served there, {sum(elsewhere)} of {len(elsewhere)} elsewhere"
                )
        return found


def _interval(item: FirstTry) -> int:
    """Return the number of the interval of `INTERVAL_S` in which a request was sent."""
    return int(item.sent_at_s / INTERVAL_S)


class SoakLinks:
    """The links of all gateways to all replicas."""

    def __init__(self, gateways: list[Gateway]) -> None:
        self._gateways = gateways
        self._faults: dict[str, LinkFault] = {}
        self._connections: dict[asyncio.StreamWriter, str] = {}

    def accept(self, writer: asyncio.StreamWriter) -> bool:
        """Keep track of a replica's new connection; reset it if the link is cut."""
        name = self._source_of(writer)
        if name in self._faults:
            writer.transport.abort()
            return False
        self._connections[writer] = name
        return True

    def sender(self, writer: asyncio.StreamWriter) -> GatewayRun | None:
        """Return the gateway run at the other end of a connection; None if it is unknown."""
        name = self._connections.get(writer, "")
        return next((item.current_run() for item in self._gateways if item.name == name), None)

    def forget(self, writer: asyncio.StreamWriter) -> None:
        """Forget a connection that has ended."""
        self._connections.pop(writer, None)

    def fail(self, names: list[str], fault: LinkFault) -> None:
        """Cut gateways off from all replicas."""
        self._faults.update(dict.fromkeys(names, fault))
        if fault is LinkFault.NO_NEW:
            return
        for writer, name in list(self._connections.items()):
            if name in names:
                writer.transport.abort()

    def restore(self, names: list[str]) -> None:
        """Restore the links of gateways."""
        for name in names:
            self._faults.pop(name, None)

    def _source_of(self, writer: asyncio.StreamWriter) -> str:
        """Return the name of the gateway that opened a connection; empty if it is none of them."""
        source, target = writer.get_extra_info("peername"), writer.get_extra_info("sockname")
        inode = _socket_inode(source[1], target[1])
        for gateway in self._gateways:
            if gateway.process is not None and inode in _socket_inodes(gateway.process.pid):
                return gateway.name
        return ""


def _socket_inode(local_port: int, remote_port: int) -> str:
    """Return the inode of the local TCP socket with these ports; empty if it is gone."""
    for line in Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        ports = [int(address.rpartition(":")[2], 16) for address in fields[1:3]]
        if ports == [local_port, remote_port]:
            return fields[9]
    return ""


def _socket_inodes(pid: int) -> set[str]:
    """Return the inodes of a process's sockets."""
    found = set()
    # A process may end, and close files, meanwhile.
    with contextlib.suppress(OSError):
        for entry in os.scandir(f"/proc/{pid}/fd"):
            with contextlib.suppress(OSError):
                target = os.readlink(entry.path)
                if target.startswith("socket:["):
                    found.add(target[8:-1])
    return found


class LinkInjector:
    """Cuts gateways off from all replicas in sequence, during all other faults."""

    def __init__(
        self,
        gateways: list[Gateway],
        links: SoakLinks,
        ledger: LinkLedger,
        random: Random,
        note: Callable[[str], None],
    ) -> None:
        """Create the injector.

        Args:
            gateways: All gateways.
            links: Their links.
            ledger: Receives each cut.
            random: Decides which gateways are cut off, how, and when.
            note: Receives a line for each cut.
        """
        self._gateways = gateways
        self._links = links
        self._ledger = ledger
        self._random = random
        self._note = note

    async def run(self) -> None:
        """Run until cancelled; the links are restored then."""
        while True:
            await asyncio.sleep(self._random.random() * MAX_PAUSE_S)
            number = self._random.randint(1, len(self._gateways))
            names = [item.name for item in self._random.sample(self._gateways, number)]
            fault = self._random.choice(list(LinkFault))
            self._note(f"cut {' '.join(names)} {fault}")
            began_at_s = time.monotonic()
            self._links.fail(names, fault)
            try:
                span_s = MAX_CUT_S - MIN_CUT_S
                await asyncio.sleep(MIN_CUT_S + self._random.random() * span_s)
            finally:
                self._links.restore(names)
                cut = Cut(frozenset(names), began_at_s, time.monotonic())
                self._ledger.cuts.append(cut)
