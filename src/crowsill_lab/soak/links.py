"""Links between gateways and replicas of a soak, and the injector that cuts them.

Gateways and replicas share one address, so a replica finds out from the kernel's tables which
process has opened a connection.
"""

import asyncio
import contextlib
import os
import time
from collections.abc import Callable, Sequence
from enum import StrEnum
from random import Random

from crowsill_lab.soak.link_ledger import Cut, LinkLedger
from crowsill_lab.soak.responses import reset
from crowsill_lab.soak.signal_ledger import GatewayRun
from crowsill_lab.soak.site import Gateway
from crowsill_lab.soak.sockets import find_socket_inode

MIN_CUT_S = 5.0
MAX_CUT_S = 7.0
MAX_PAUSE_S = 2.0


class LinkFault(StrEnum):
    """How the links of a gateway to all replicas fail.

    Attributes:
        RESET: Open connections are reset, and new ones right after they were accepted.
        NO_NEW: Only new connections are reset.
        SILENT: New connections are accepted, and no further request on any is answered.
    """

    RESET = "reset"
    NO_NEW = "no_new"
    SILENT = "silent"


class SoakLinks:
    """The links of all gateways to all replicas."""

    def __init__(self, gateways: list[Gateway]) -> None:
        self._gateways = gateways
        self._faults: dict[str, LinkFault] = {}
        self._all_cut_since_s = float("inf")
        self._all_cut_s = 0.0
        self._connections: dict[asyncio.StreamWriter, str] = {}

    def all_cut_s(self) -> float:
        """Return for how long no gateway had any link so far, in seconds; none could serve then."""
        return self._all_cut_s + max(0.0, time.monotonic() - self._all_cut_since_s)

    def _note_change(self) -> None:
        """Note whether any gateway has links from now on."""
        self._all_cut_s = self.all_cut_s()
        carrying = [
            name
            for name in self._connections.values()
            if self._faults.get(name) is not LinkFault.SILENT
        ]
        all_cut = not carrying and len(self._faults) == len(self._gateways)
        self._all_cut_since_s = time.monotonic() if all_cut else float("inf")

    def accept(self, writer: asyncio.StreamWriter) -> bool:
        """Keep track of a replica's new connection; reset it if the link is cut."""
        name = self._source_of(writer)
        if self._faults.get(name, LinkFault.SILENT) is not LinkFault.SILENT:
            reset(writer)
            return False
        self._connections[writer] = name
        self._note_change()
        return True

    def is_silent(self, writer: asyncio.StreamWriter) -> bool:
        """Whether the request that was just read from a connection is not answered."""
        return self._faults.get(self._connections.get(writer, "")) is LinkFault.SILENT

    def sender(self, writer: asyncio.StreamWriter) -> GatewayRun | None:
        """Return the gateway run at the other end of a connection; None if it is unknown."""
        name = self._connections.get(writer, "")
        return next((item.current_run() for item in self._gateways if item.name == name), None)

    def forget(self, writer: asyncio.StreamWriter) -> None:
        """Forget a connection that has ended."""
        self._connections.pop(writer, None)
        self._note_change()

    def fail(self, names: list[str], fault: LinkFault) -> None:
        """Cut gateways off from all replicas."""
        self._faults.update(dict.fromkeys(names, fault))
        self._note_change()
        if fault is not LinkFault.RESET:
            return
        for writer, name in list(self._connections.items()):
            if name in names:
                reset(writer)

    def restore(self, names: list[str]) -> None:
        """Restore the links of gateways."""
        for name in names:
            self._faults.pop(name, None)
        self._note_change()

    def _source_of(self, writer: asyncio.StreamWriter) -> str:
        """Return the name of the gateway that opened a connection; empty if it is none of them."""
        source, target = writer.get_extra_info("peername"), writer.get_extra_info("sockname")
        inode = find_socket_inode(source, target)
        for gateway in self._gateways:
            if gateway.process is not None and inode in _socket_inodes(gateway.process.pid):
                return gateway.name
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
        *,
        note: Callable[[str], None],
        faults: Sequence[LinkFault] = (LinkFault.RESET, LinkFault.NO_NEW),
    ) -> None:
        """Create the injector.

        Args:
            gateways: All gateways.
            links: Their links.
            ledger: Receives each cut.
            random: Decides which gateways are cut off, how, and when.
            note: Receives a line for each cut.
            faults: How links may fail.
        """
        self._gateways = gateways
        self._links = links
        self._ledger = ledger
        self._random = random
        self._note = note
        self._faults = faults

    async def run(self) -> None:
        """Run until cancelled; the links are restored then."""
        while True:
            await asyncio.sleep(self._random.random() * MAX_PAUSE_S)
            number = self._random.randint(1, len(self._gateways))
            names = [item.name for item in self._random.sample(self._gateways, number)]
            fault = self._random.choice(self._faults)
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
