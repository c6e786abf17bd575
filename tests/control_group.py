"""Control members in one process, whose disks can be made to hang, for tests of the roles."""

import asyncio
import threading
from random import Random

from crowsill.control.role import open_control_role
from crowsill.gateway.crash_guard import CrashGuard
from crowsill.gateway.follower import GatewayFollower, GatewayHooks
from crowsill.gateway.replica_registry import ReplicaRegistry
from crowsill.model.route_codec import compress_document
from crowsill.platform_ports import PlatformPorts
from crowsill.settings import Address, ControlSettings, PeerSettings, Settings
from crowsill.state.commands import PublishRoutes
from crowsill.transport.messages import SubmitCommand, Submitted
from crowsill.transport.stream import LocalIdentity
from crowsill_lab.demo.processes import free_ports
from crowsill_lab.relay import SilencingRelay

KEY = b"k" * 32


class HangingDisk:
    """Blocks or allows the writes of one journal."""

    def __init__(self, journal):
        self._save = journal.save
        self._is_running = threading.Event()
        self._is_running.set()
        journal.save = self._save_when_it_is_running

    def _save_when_it_is_running(self, ready):
        self._is_running.wait()
        self._save(ready)

    def hang(self):
        self._is_running.clear()

    def resume(self):
        self._is_running.set()


class ControlGroup:
    """Three members, each behind a relay whose connections can be silenced.

    Attributes:
        addresses: Addresses of the relays, at which others reach the members.
    """

    def __init__(self, folder, size=3):
        ports = free_ports(2 * size)
        self._listen = [Address("127.0.0.1", port) for port in ports[:size]]
        self.addresses = [Address("127.0.0.1", port) for port in ports[size:]]
        self.relays = [SilencingRelay() for _ in ports[:size]]
        peers = [
            PeerSettings(f"m{number}", address.host, address.port)
            for number, address in enumerate(self.addresses)
        ]
        self.roles = []
        for number, address in enumerate(self._listen):
            control = ControlSettings(
                data_folder=str(folder / f"m{number}"), listen=address, initial_members=peers
            )
            settings = Settings(f"m{number}", "z", control=control)
            role = open_control_role(settings, control, KEY, PlatformPorts()).unwrap()
            self.roles.append(role)
        self.disks = [HangingDisk(role._journal) for role in self.roles]

    async def start(self):
        for relay, address, target in zip(self.relays, self.addresses, self._listen, strict=True):
            await relay.listen(address.port, target.port)
        for role in self.roles:
            await role.start()
        await until(lambda: any(self._leads(role) for role in self.roles))

    def _leads(self, role):
        service = role._service
        return service is not None and service.driver is not None and service.driver.is_leader

    def follower_number(self):
        """Return the number of a follower."""
        return next(number for number, role in enumerate(self.roles) if not self._leads(role))

    async def publish(self, version):
        """Commit a version of the routes."""
        command = SubmitCommand(PublishRoutes(compress_document(version, b"routes")))

        async def committed():
            for role, disk in zip(self.roles, self.disks, strict=True):
                if self._leads(role) and disk._is_running.is_set():
                    reply = await role._service.submit_or_forward(command)
                    if isinstance(reply, Submitted):
                        return True
            return False

        await until_done(committed)

    async def stop(self):
        for disk in self.disks:
            disk.resume()
        for role in self.roles:
            await role.stop()
        for relay in self.relays:
            relay.close()


class FollowingGateway:
    """The follower part of a gateway, which first connects to a given member."""

    def __init__(self, first):
        self.current = 0
        self.guard = CrashGuard()
        hooks = GatewayHooks(
            lambda document: None, lambda instance_ids: None, self._on_current, self.guard.adopt
        )
        local = LocalIdentity("g1", "g1.1", "z", KEY)
        self.follower = GatewayFollower(
            local, [first], ReplicaRegistry(), self.guard, hooks=hooks, random=Random(1)
        )
        self._task = None

    def _on_current(self, gateways, proved_at_s):
        self.current += 1

    async def start(self):
        self._task = asyncio.create_task(self.follower.run())
        await until(lambda: self.current > 0)

    async def stop(self):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)


async def until(holds, within_s=10.0):
    """Wait until a condition holds."""

    async def done():
        return holds()

    await until_done(done, within_s)


async def until_done(is_done, within_s=10.0):
    """Wait until an awaitable condition holds."""
    async with asyncio.timeout(within_s):
        while not await is_done():
            await asyncio.sleep(0.02)
