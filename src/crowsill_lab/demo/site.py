"""A complete deployment on this machine: back ends, control members and entries as processes."""

import hashlib
import json
import secrets
import shutil
from dataclasses import dataclass
from pathlib import Path

import msgspec

from crowsill.model.fleet import ReplicaDescription, ReplicaKind
from crowsill_lab.demo.processes import (
    ManagedProcess,
    free_ports,
    module_command,
    wait_for_port,
)
from crowsill_lab.settings import EngineShape, LabDeployment, ServiceShape

START_TIMEOUT_S = 20.0
HOST = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class _ControlPorts:
    """Ports of one control member; other processes connect to `peer`, which may be a relay."""

    peer: int
    operators: int
    listen: int


class Site:
    """The processes of one deployment.

    Attributes:
        folder: Folder of the settings, logs and data of the run.
        processes: Processes by name.
        entries: `IP:port` of each entry by name.
        replicas: Back ends in the list of machines.
        platform: `IP:port` of the server of the list of machines.
        operator_settings: Settings file of the operator command.
    """

    def __init__(self, deployment: LabDeployment, folder: Path, is_relayed: bool = False) -> None:
        """Prepare a deployment.

        Args:
            deployment: Back ends, control members and entries to start.
            folder: Folder of the run; its contents are deleted first.
            is_relayed: Whether a relay connects the control members.
        """
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        self.folder = folder
        self.processes: dict[str, ManagedProcess] = {}
        self.entries: dict[str, str] = {}
        self.replicas: list[ReplicaDescription] = []
        self.platform = ""
        self.operator_settings = folder / "operator.toml"
        self._deployment = deployment
        self._token = secrets.token_hex(16)
        (folder / "cluster.key").write_text(secrets.token_hex(32))
        self._control = [_control_ports(is_relayed) for _ in range(deployment.control_members)]

    @property
    def control_ports(self) -> list[int]:
        """Ports at which other processes of the deployment reach the control members."""
        return [ports.peer for ports in self._control]

    @property
    def listen_ports(self) -> list[int]:
        """Ports on which the control members listen for other processes of the deployment."""
        return [ports.listen for ports in self._control]

    @property
    def operator_ports(self) -> list[int]:
        """Ports of the control members for operator requests."""
        return [ports.operators for ports in self._control]

    @property
    def operator_token(self) -> str:
        """Bearer token of the operator."""
        return self._token

    def start(self) -> None:
        """Start all processes, back ends first."""
        self._start_backends()
        for index in range(len(self._control)):
            self._start_control(index)
        for index in range(self._deployment.entries):
            self._start_entry(index)
        self._write_operator_settings()

    def _spawn(self, name: str, command: list[str], port: int) -> None:
        self.processes[name] = ManagedProcess(name, command, self.folder)
        if not wait_for_port(port, START_TIMEOUT_S):
            raise RuntimeError(f"{name} did not start; see {self.processes[name].log}")

    def _start_lab_process(
        self, kind: str, name: str, shape: msgspec.Struct, *extra_arguments: str
    ) -> int:
        (port,) = free_ports(1)
        shape_json = json.dumps(msgspec.to_builtins(shape))
        command = module_command("crowsill_lab.main", kind, str(port), shape_json, *extra_arguments)
        self._spawn(name, command, port)
        return port

    def _start_backends(self) -> None:
        deployment = self._deployment
        store = f"{HOST}:{self._start_lab_process('store', 'store', deployment.store)}"
        report_lag = str(deployment.report_lag_s)
        for engine in deployment.engines:
            for index, zone in enumerate(engine.zones):
                name = f"{engine.pool}-{index}"
                port = self._start_lab_process("engine", name, engine, store, report_lag)
                self.replicas.append(_engine_description(name, zone, port, engine))
        for service in deployment.services:
            for index, zone in enumerate(service.zones):
                name = f"{service.pool}-{index}"
                port = self._start_lab_process("service", name, service, report_lag)
                self.replicas.append(_service_description(name, zone, port, service))
        (port,) = free_ports(1)
        machines = self.folder / "machines.json"
        machines.write_bytes(msgspec.json.encode(self.replicas))
        platform_lag = str(deployment.platform_lag_s)
        command = module_command(
            "crowsill_lab.main", "platform", str(port), str(machines), platform_lag
        )
        self._spawn("platform", command, port)
        self.platform = f"{HOST}:{port}"

    def _common_settings(self, node: str, index: int) -> str:
        zone = self._deployment.zones[index % len(self._deployment.zones)]
        key_file = self.folder / "cluster.key"
        return f'node = "{node}"\nzone = "{zone}"\ncluster_key_file = "{key_file}"\n'

    def _start_control(self, index: int) -> None:
        name = f"control-{index}"
        ports = self._control[index]
        store = self._deployment.store
        digest = hashlib.sha256(self._token.encode()).hexdigest()
        lines = [
            self._common_settings(name, index),
            "[control]",
            f'data_folder = "{self.folder / name}"',
            f'listen = {{ host = "{HOST}", port = {ports.listen} }}',
            f'operators = {{ host = "{HOST}", port = {ports.operators} }}',
            f'operator_token_sha256 = ["{digest}"]',
            f'platform_list = "{self.platform}"',
            f"weight_store_loads_per_s = {float(store.loads_per_s)}",
            f"weight_store_concurrent = {store.concurrent}",
        ]
        for peer_index, peer in enumerate(self._control):
            lines.append("[[control.initial_members]]")
            lines.append(f'name = "control-{peer_index}"\nhost = "{HOST}"\nport = {peer.peer}')
        self._spawn(name, self._daemon_command(name, lines), ports.operators)

    def _start_entry(self, index: int) -> None:
        name = f"entry-{index}"
        (port,) = free_ports(1)
        members = ", ".join(
            f'{{ host = "{HOST}", port = {ports.peer} }}' for ports in self._control
        )
        lines = [
            self._common_settings(name, index),
            "[entry]",
            f'callers = {{ host = "{HOST}", port = {port} }}',
            f"control_members = [{members}]",
        ]
        self._spawn(name, self._daemon_command(name, lines), port)
        self.entries[name] = f"{HOST}:{port}"

    def _daemon_command(self, name: str, lines: list[str]) -> list[str]:
        path = self.folder / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return module_command("crowsill.daemon", str(path))

    def _write_operator_settings(self) -> None:
        members = ", ".join(f'"http://{HOST}:{ports.operators}"' for ports in self._control)
        text = f'members = [{members}]\ntoken = "{self._token}"\nauthor = "demo"\n'
        self.operator_settings.write_text(text)

    def stop(self) -> None:
        """Terminate all processes, in reverse order of their start."""
        for process in reversed(list(self.processes.values())):
            process.terminate()


def _control_ports(is_relayed: bool) -> _ControlPorts:
    peer, operators, listen = free_ports(3)
    return _ControlPorts(peer, operators, listen if is_relayed else peer)


def _engine_description(name: str, zone: str, port: int, shape: EngineShape) -> ReplicaDescription:
    return ReplicaDescription(
        replica_id=name,
        kind=ReplicaKind.ENGINE,
        address=f"{HOST}:{port}",
        zone=zone,
        pool=shape.pool,
        memory_mib=shape.memory_mib,
        max_concurrency=shape.slots,
        checks_fence=shape.checks_fence,
    )


def _service_description(
    name: str, zone: str, port: int, shape: ServiceShape
) -> ReplicaDescription:
    return ReplicaDescription(
        replica_id=name,
        kind=ReplicaKind.SERVICE,
        address=f"{HOST}:{port}",
        zone=zone,
        pool=shape.pool,
        max_concurrency=shape.slots,
    )
