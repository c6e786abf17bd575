"""Length-prefixed msgpack frames over TCP, with mutual authentication by a shared key."""

import asyncio
import hashlib
import hmac
import secrets
import struct
from dataclasses import dataclass
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from crowsill.constants import CONTROL_PROTOCOL_VERSION, MAX_FRAME_BYTES
from crowsill.transport.messages import Body, Challenge, Frame, Hello, Proof

_LENGTH = struct.Struct("<I")
_NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_S = 1.5
# The key of a cluster without a key file.
DEFAULT_CLUSTER_KEY = hashlib.sha256(b"crowsill open cluster").digest()

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


class ProtocolError(Exception):
    """The peer violated the protocol; the stream is closed."""


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Identity of a stream's peer.

    Attributes:
        node: Name of the process.
        identity: Member id, or the incarnation of an entry.
        zone: Zone of the process; empty if unknown.
    """

    node: str
    identity: str
    zone: str


@dataclass(frozen=True, slots=True)
class LocalIdentity:
    """Identity of this process.

    Attributes:
        node: Name of the process.
        identity: Member id, or the incarnation of an entry.
        zone: Zone of the process.
        key: Key that all processes of the cluster share.
    """

    node: str
    identity: str
    zone: str
    key: bytes


def load_cluster_key(file_name: str | Path) -> Result[bytes, str]:
    """Derive the shared key from a file of at least 16 bytes.

    Without a file all processes use the same well-known key. The handshake then only distinguishes
    crowsill's processes from others, and the network must block access by strangers.
    """
    if not str(file_name):
        return Success(DEFAULT_CLUSTER_KEY)
    path = Path(file_name)
    try:
        content = path.read_bytes().strip()
    except OSError as error:
        return Failure(f"cluster_key_file: {error}")
    if len(content) < 16:
        return Failure(f"cluster_key_file: {path} contains fewer than 16 bytes")
    return Success(hashlib.sha256(content).digest())


def encode(frame: Frame) -> bytes:
    """Encode a frame, preceded by its length."""
    payload = _encoder.encode(frame)
    return _LENGTH.pack(len(payload)) + payload


async def read_frame(reader: asyncio.StreamReader) -> tuple[Frame, int]:
    """Read one frame.

    Returns:
        The frame and its size in bytes, including the length prefix.

    Raises:
        ProtocolError: The frame is too large or malformed.
        asyncio.IncompleteReadError: The stream ended.
    """
    header = await reader.readexactly(_LENGTH.size)
    (length,) = _LENGTH.unpack(header)
    if length > MAX_FRAME_BYTES:
        raise ProtocolError(f"frame of {length} bytes is longer than {MAX_FRAME_BYTES} bytes")
    payload = await reader.readexactly(length)
    try:
        return _decoder.decode(payload), length + _LENGTH.size
    except msgspec.DecodeError as error:
        raise ProtocolError(str(error)) from error


def _compute_proof(key: bytes, side: bytes, client_nonce: bytes, server_nonce: bytes) -> bytes:
    return hmac.digest(key, side + client_nonce + server_nonce, "sha256")


async def _read_body(reader: asyncio.StreamReader) -> Body:
    frame, _ = await read_frame(reader)
    return frame.body


async def connect_handshake(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, local: LocalIdentity
) -> PeerIdentity:
    """Authenticate both sides, as the connecting side.

    Raises:
        ProtocolError: The peer has another protocol version or does not know the key.
    """
    nonce = secrets.token_bytes(_NONCE_BYTES)
    hello = Hello(CONTROL_PROTOCOL_VERSION, local.node, local.identity, local.zone, nonce)
    writer.write(encode(Frame(0, False, hello)))
    challenge = await _read_body(reader)
    if not isinstance(challenge, Challenge):
        raise ProtocolError("expected a challenge as the second frame")
    if challenge.version != CONTROL_PROTOCOL_VERSION:
        raise ProtocolError(f"unsupported protocol version {challenge.version}")
    expected = _compute_proof(local.key, b"server", nonce, challenge.nonce)
    if not hmac.compare_digest(expected, challenge.proof):
        raise ProtocolError("the peer does not know the cluster key")
    proof = _compute_proof(local.key, b"client", nonce, challenge.nonce)
    writer.write(encode(Frame(0, False, Proof(proof))))
    return PeerIdentity(challenge.node, challenge.identity, "")


async def accept_handshake(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, local: LocalIdentity
) -> PeerIdentity:
    """Authenticate both sides, as the accepting side.

    Raises:
        ProtocolError: The peer has another protocol version or does not know the key.
    """
    hello = await _read_body(reader)
    if not isinstance(hello, Hello) or hello.version != CONTROL_PROTOCOL_VERSION:
        raise ProtocolError("expected a hello of this protocol version as the first frame")
    nonce = secrets.token_bytes(_NONCE_BYTES)
    proof = _compute_proof(local.key, b"server", hello.nonce, nonce)
    challenge = Challenge(CONTROL_PROTOCOL_VERSION, local.node, local.identity, nonce, proof)
    writer.write(encode(Frame(0, False, challenge)))
    reply = await _read_body(reader)
    expected = _compute_proof(local.key, b"client", hello.nonce, nonce)
    if not isinstance(reply, Proof) or not hmac.compare_digest(expected, reply.proof):
        raise ProtocolError("the peer does not know the cluster key")
    return PeerIdentity(hello.node, hello.identity, hello.zone)
